"""Settings: reporting of all faults, the example and the schema."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jsonschema
import pytest
from click.testing import CliRunner, Result

from siskinspool.daemon import main
from siskinspool.settings import load_settings
from siskinspool.settings_schema import settings_schema_document, settings_schema_text

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "examples" / "settings.json"
TOKEN = 987_654_321


def check_settings(folder: Path, text: str) -> Result:
    """Return the result of the daemon's check of settings."""
    path = folder / "settings.json"
    path.write_text(text, encoding="utf-8")
    return CliRunner().invoke(main, [str(path), "--check"])


def example_with(**values: Any) -> str:
    """Return the example with changed values; None removes a field."""
    document = json.loads(EXAMPLE.read_text(encoding="utf-8")) | values
    return json.dumps({k: v for k, v in document.items() if v is not None})


def test_example_is_valid_and_matches_the_schema(tmp_path: Path) -> None:
    """Guards against an example and a schema that the daemon refuses."""
    assert load_settings(EXAMPLE).instance_id == "entry-1"
    text = EXAMPLE.read_text(encoding="utf-8")
    assert check_settings(tmp_path, text).exit_code == 0
    jsonschema.validate(json.loads(text), settings_schema_document())
    committed = ROOT / "schema" / "settings.schema.json"
    assert committed.read_text(encoding="utf-8") == settings_schema_text()


@pytest.mark.parametrize(
    ("field", "value", "words"),
    [
        ("instance_id", 5, ("5", "a string")),
        ("instance_id", "a/b", ("'a/b'", "without '/'")),
        ("zone", "", ("''", "1 to 128")),
        ("site", None, ("missing",)),
        ("listen", {"host": "10.0.0.1", "port": 70_000}, ("70000", "0 ", "65535")),
        ("listen", {"host": "0.0.0.0", "port": 1}, ("'0.0.0.0'", "this machine")),
        ("peer", {"host": "entry-1", "port": 1}, ("'entry-1'", "IP number")),
        ("peer", {"host": "10.0.0.1"}, ("port", "missing")),
        ("key_value", {"host": "10.0.0.1", "port": 0}, ("0 ", "1 to 65535")),
        ("instance_list", "10.0.0.1:80", ("instance_list",)),
        ("statsd", {"host": "10.0.0.1", "port": "x"}, ("'x'", "a whole number")),
        ("log_level", "loud", ("'loud'", "debug, info, warning, error")),
        ("session_ttl_s", 0.5, ("0.5", "2 to 60")),
        ("session_renew_s", 6, ("6", "half of session_ttl_s")),
        ("balancer_wait_s", -1, ("-1", "0 to 60")),
        ("relay_port", 70_000, ("70000", "0 ", "65535")),
        ("colour", "red", ("unknown", "colour")),
    ],
)
def test_a_wrong_value_is_one_line_with_status_2(
    tmp_path: Path, field: str, value: Any, words: tuple[str, ...]
) -> None:
    """Guards against a fault line without the field, the value or what is allowed."""
    result = check_settings(tmp_path, example_with(**{field: value}))
    assert result.exit_code == 2 and result.stdout == ""
    lines = [line for line in result.stderr.splitlines() if field in line]
    assert lines and all(any(word in line for line in lines) for word in words), (
        result.stderr
    )


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    """Guards against a check that reports one fault per run."""
    text = example_with(
        site=None,
        zone=7,
        log_level="loud",
        session_renew_s=9,
        listen={"host": "x", "port": -1},
    )
    result = check_settings(tmp_path, text)
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 6
    for field in ("site", "zone", "log_level", "session_renew_s", "listen.host"):
        assert f"{field}: " in result.stderr


@pytest.mark.parametrize("text", ["", "[]", "{", "null", '"x"'])
def test_a_document_of_another_shape_is_a_fault(tmp_path: Path, text: str) -> None:
    """Guards against a traceback on a file that does not contain settings."""
    result = check_settings(tmp_path, text)
    assert result.exit_code == 2 and result.stderr.count("\n") >= 1
    assert "Traceback" not in result.stderr


def test_an_unreadable_file_is_a_fault(tmp_path: Path) -> None:
    """Guards against a traceback when the path is wrong."""
    result = CliRunner().invoke(main, [str(tmp_path / "none.json")])
    assert result.exit_code == 2 and "cannot be read" in result.stderr


def test_the_operators_token_is_never_shown(tmp_path: Path) -> None:
    """Guards against a token on the terminal or in the log of a failed start."""
    result = check_settings(tmp_path, example_with(operator_token=TOKEN))
    assert result.exit_code == 2 and "operator_token" in result.stderr
    assert str(TOKEN) not in result.stderr
    path = tmp_path / "good.json"
    path.write_text(example_with(operator_token="secret-token"), encoding="utf-8")
    assert "secret-token" not in repr(load_settings(path))
