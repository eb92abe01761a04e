"""Parsing of HTTP requests into calls, validated against the manifest.

`parse_call` turns an HTTP request into a `Call` or a `Refusal` and does no I/O. A call
has a target (a model, an adapter or the route of a plain service), a team, a request
class, a deadline and a flag that says whether it may run more than once. The headers
and the query that are forwarded to a server never contain the caller's API key (R4).
"""

from __future__ import annotations

import hashlib
import re
from typing import Final
from urllib.parse import parse_qsl, quote, urlencode

import attrs
import msgspec

from ..core.errors import ErrorCode
from ..core.malformed import MALFORMED_ERRORS
from ..core.outcome import Refusal
from ..manifest.model import Catalog, RequestClass, Route, Team
from .api_key import contains_key, key_id_of, verify_key

MODEL_PATHS: Final = ("/v1/chat/completions", "/v1/completions")
DEFAULT_MAX_TOKENS: Final = 256
# Approximate size of a token, used until the engine reports the exact count.
BYTES_PER_TOKEN: Final = 4
MAX_DEADLINE_MS: Final = 24 * 3600 * 1000
MAX_IDEMPOTENCY_KEY_CHARS: Final = 255

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that often carry
# credentials. They are not forwarded. Nor is the position in a stream: a call begins
# its stream anew, as any server may get it, whatever its software version.
_DROPPED_HEADERS: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "last-event-id",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-api-key",
        "api-key",
    }
)
# Characters that need no percent-encoding in a path (RFC 3986, section 3.3).
_PATH_SAFE: Final = "/:@!$&'()*+,;=~"
_METHOD: Final = re.compile(r"[A-Z]{1,20}")
_KEY_QUERY_NAMES: Final = frozenset({"api_key", "apikey", "api-key", "key", "token"})


@attrs.frozen
class HttpRequest:
    """An HTTP request as received by the front end; header names are lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Call:
    """A validated request."""

    id: str
    # Empty on an open route.
    team: str
    # Id of the API key in the request; empty on an open route.
    key_id: str
    # Id of a model, an adapter or a route.
    target: str
    # Base model of the target; empty for a plain service.
    model: str
    route: Route | None
    request_class: RequestClass
    # Monotonic seconds.
    deadline_at: float
    is_idempotent: bool
    idempotency_key: str
    # Tokens charged at admission, before the real use is known.
    estimate_tokens: int
    is_streamed: bool
    method: str
    # Path and query without API keys.
    uri: str
    # Headers that are forwarded to the server.
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)

    @property
    def idempotency_key_digest(self) -> str:
        """Hex digest of the idempotency key; the key may contain private data."""
        text = self.idempotency_key.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(text, digest_size=16).hexdigest()

    @property
    def body_digest(self) -> str:
        """Hex digest of method, URI and body, to detect a reused idempotency key."""
        digest = hashlib.blake2b(digest_size=16)
        digest.update(f"{self.method} {self.uri}\n".encode())
        digest.update(self.body)
        return digest.hexdigest()


class _ModelBody(msgspec.Struct):
    """The fields of a completion request that the parser reads."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_body_decoder: Final = msgspec.json.Decoder(_ModelBody)


def parse_call(
    request: HttpRequest, catalog: Catalog, call_id: str, now: float
) -> Call | Refusal:
    """Parse and validate a request; return the call or the reason for refusal."""
    refusal = _check_request_line(request)
    if refusal is not None:
        return refusal
    if request.path in MODEL_PATHS:
        return _parse_model_call(request, catalog, call_id, now)
    route = find_route(catalog, request.path)
    if route is None:
        return Refusal(404, ErrorCode.UNKNOWN_ROUTE, "no route has this path")
    return _parse_service_call(request, catalog, route, call_id, now)


def _check_request_line(request: HttpRequest) -> Refusal | None:
    """Return a refusal if the method or the path is invalid."""
    is_known = _METHOD.fullmatch(request.method) and request.method != "CONNECT"
    if not is_known or (request.path in MODEL_PATHS and request.method != "POST"):
        return Refusal(
            405, ErrorCode.METHOD_NOT_ALLOWED, "this method is not served here"
        )
    if any(segment in (".", "..") for segment in request.path.split("/")):
        # A service might resolve the segments and run a route that was not checked.
        return Refusal(400, ErrorCode.BAD_REQUEST, "the path holds dot segments")
    if contains_key(request.path):
        return Refusal(
            401, ErrorCode.KEY_MISPLACED, "the path holds a key; use Authorization"
        )
    return None


def find_route(catalog: Catalog, path: str) -> Route | None:
    """Return the route with the longest path prefix that matches, or None."""
    longest: Route | None = None
    for route in catalog.manifest.routes:
        base = route.path.rstrip("/")
        matches = path == base or path.startswith(base + "/")
        if matches and (longest is None or len(route.path) > len(longest.path)):
            longest = route
    return longest


def authenticate(request: HttpRequest, catalog: Catalog) -> Team | Refusal:
    """Return the team that the request's API key belongs to, or a refusal."""
    text = bearer_key(request)
    if text is None:
        if _has_misplaced_key(request):
            return Refusal(
                401,
                ErrorCode.KEY_MISPLACED,
                "send the key as 'Authorization: Bearer <key>'",
            )
        return Refusal(401, ErrorCode.KEY_MISSING, "no key came with the request")
    team = verify_key(catalog, text)
    if team is None:
        return Refusal(401, ErrorCode.KEY_REJECTED, "the key is not valid")
    return team


def bearer_key(request: HttpRequest) -> str | None:
    """Return the API key in the Authorization header, or None."""
    scheme, _, text = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not text.strip():
        return None
    return text.strip()


def is_allowed(team: Team, target: str) -> bool:
    """Return whether a team may use a model, an adapter or a route."""
    return "*" in team.allow or target in team.allow


def forwarded_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that may be forwarded to a server."""
    connection_headers = {
        name.strip().lower() for name in headers.get("connection", "").split(",")
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in _DROPPED_HEADERS
        and name not in connection_headers
        and not name.startswith("x-siskin-")
        and not contains_key(value)
        and not contains_key(name)
    }


def forwarded_uri(path: str, query: str) -> str:
    """Return path and query without parameters that contain an API key.

    ``path`` is already decoded and is encoded again here. Otherwise a line break or a
    space in it would end the request line, and a caller could inject headers or
    requests.
    """
    path = quote(path, safe=_PATH_SAFE, encoding="latin-1")
    pairs = parse_qsl(query, keep_blank_values=True)
    remaining = [pair for pair in pairs if not _is_key_parameter(*pair)]
    if remaining == pairs:
        return f"{path}?{query}" if query else path
    return f"{path}?{urlencode(remaining)}" if remaining else path


def _is_key_parameter(name: str, value: str) -> bool:
    is_key_name = name.lower() in _KEY_QUERY_NAMES
    return is_key_name or contains_key(value) or contains_key(name)


def _has_misplaced_key(request: HttpRequest) -> bool:
    if any(_is_key_parameter(*pair) for pair in parse_qsl(request.query)):
        return True
    if "x-api-key" in request.headers or "api-key" in request.headers:
        return True
    return any(contains_key(value) for value in request.headers.values())


def _parse_model_call(
    request: HttpRequest, catalog: Catalog, call_id: str, now: float
) -> Call | Refusal:
    team = authenticate(request, catalog)
    if isinstance(team, Refusal):
        return team
    try:
        body = _body_decoder.decode(request.body)
    except MALFORMED_ERRORS as error:
        return Refusal(400, ErrorCode.BAD_REQUEST, f"body: {error}")
    model = catalog.base_model(body.model)
    if model is None or not is_allowed(team, body.model):
        # One answer for both cases, so that a team cannot probe for other models.
        return Refusal(404, ErrorCode.UNKNOWN_MODEL, "no such model for this team")
    max_tokens = body.max_tokens or body.max_completion_tokens or DEFAULT_MAX_TOKENS
    if max_tokens < 1:
        return Refusal(400, ErrorCode.BAD_REQUEST, "max_tokens must be positive")
    class_and_deadline = _parse_class_and_deadline(
        request, RequestClass.URGENT, team.deadline_ms, now
    )
    if isinstance(class_and_deadline, Refusal):
        return class_and_deadline
    return Call(
        id=call_id,
        team=team.id,
        key_id=key_id_of(bearer_key(request) or ""),
        target=body.model,
        model=model.id,
        route=None,
        request_class=class_and_deadline.request_class,
        deadline_at=class_and_deadline.deadline_at,
        is_idempotent=True,
        idempotency_key="",
        estimate_tokens=len(request.body) // BYTES_PER_TOKEN + max_tokens,
        is_streamed=body.stream,
        method=request.method,
        uri=request.path,
        headers=forwarded_headers(request.headers),
        body=request.body,
    )


def _parse_service_call(
    request: HttpRequest, catalog: Catalog, route: Route, call_id: str, now: float
) -> Call | Refusal:
    team_id, key_id = "", ""
    if not route.open:
        team = authenticate(request, catalog)
        if isinstance(team, Refusal):
            return team
        if not is_allowed(team, route.id):
            return Refusal(
                403, ErrorCode.ROUTE_FORBIDDEN, "the team may not use this route"
            )
        team_id, key_id = team.id, key_id_of(bearer_key(request) or "")
    class_and_deadline = _parse_class_and_deadline(
        request, route.request_class, route.deadline_ms, now
    )
    if isinstance(class_and_deadline, Refusal):
        return class_and_deadline
    idempotency_key = request.headers.get("idempotency-key", "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARS:
        return Refusal(400, ErrorCode.BAD_REQUEST, "Idempotency-Key is too long")
    return Call(
        id=call_id,
        team=team_id,
        key_id=key_id,
        target=route.id,
        model="",
        route=route,
        request_class=class_and_deadline.request_class,
        deadline_at=class_and_deadline.deadline_at,
        is_idempotent=route.idempotent,
        idempotency_key="" if route.idempotent else idempotency_key,
        estimate_tokens=route.cost_tokens,
        is_streamed=False,
        method=request.method,
        uri=forwarded_uri(request.path, request.query),
        headers=forwarded_headers(request.headers),
        body=request.body,
    )


@attrs.frozen
class _ClassAndDeadline:
    request_class: RequestClass
    deadline_at: float


def _parse_class_and_deadline(
    request: HttpRequest, default_class: RequestClass, default_ms: int, now: float
) -> _ClassAndDeadline | Refusal:
    class_name = request.headers.get("x-siskin-class", default_class.value)
    try:
        request_class = RequestClass(class_name.strip().lower())
    except ValueError:
        return Refusal(
            400, ErrorCode.BAD_REQUEST, "X-Siskin-Class must be urgent or patient"
        )
    text = request.headers.get("x-siskin-deadline-ms", str(default_ms)).strip()
    deadline_ms = int(text) if text.isascii() and text.isdigit() else 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        return Refusal(
            400,
            ErrorCode.BAD_REQUEST,
            f"X-Siskin-Deadline-Ms must be from 1 to {MAX_DEADLINE_MS}",
        )
    return _ClassAndDeadline(request_class, now + deadline_ms / 1000)
