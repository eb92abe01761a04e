"""The manifest: reporting of all faults, differences, publication."""

from __future__ import annotations

from pathlib import Path

import jsonschema
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.manifest.changes import apply_changes, diff
from siskinspool.manifest.document import (
    Faults,
    manifest_digest,
    read_manifest,
    write_manifest,
)
from siskinspool.manifest.head import MAX_CHAIN_LENGTH
from siskinspool.manifest.model import Manifest, ZoneState
from siskinspool.manifest.schema import schema_document, schema_text

from .builders_manifest import ConfigurationStore, manifest

rates = st.dictionaries(
    st.sampled_from(["t1", "t2", "t3", "t4"]), st.floats(1, 1000), max_size=4
)


def test_written_manifest_reads_back() -> None:
    """Guards against a field that is lost between writing and reading."""
    read = read_manifest(write_manifest(manifest()))
    assert read == manifest()
    assert isinstance(read, Manifest) and isinstance(read.zones[0].state, ZoneState)


def test_all_faults_are_reported_at_once_with_their_paths() -> None:
    """Guards against a check that stops at the first fault."""
    document = msgspec.json.decode(write_manifest(manifest()))
    document["servers"][0]["zone"] = "nowhere"
    document["servers"][0]["memory_mib"] = 0
    document["teams"][0]["allow"] = ["ghost"]
    faults = read_manifest(msgspec.json.encode(document))
    assert isinstance(faults, Faults)
    text = "\n".join(faults.lines)
    assert "$.servers[0].zone: no entry of zones is 'nowhere'" in text
    assert "$.servers[0].memory_mib: must be above 0" in text
    assert "$.teams[0].allow: 'ghost'" in text
    assert "no server or service is in zone 'a'" in text


def test_unknown_fields_and_wrong_types_are_faults() -> None:
    """Guards against a misspelt field that is silently dropped."""
    document = msgspec.json.decode(write_manifest(manifest()))
    document["teams"][0]["rte"] = 5
    document["servers"][0]["capacity"] = "four"
    document["zones"][0]["state"] = "ajar"
    faults = read_manifest(msgspec.json.encode(document))
    assert isinstance(faults, Faults)
    text = "\n".join(faults.lines)
    assert "rte" in text and "teams[0]" in text
    assert "'four' is not a whole number" in text
    assert "'ajar' is not one of open, closed" in text


@given(rates, rates)
def test_changes_lead_from_one_manifest_to_the_other(
    old_rates: dict[str, float], new_rates: dict[str, float]
) -> None:
    """Guards against a difference that loses, keeps or alters an entity."""
    old, new = manifest(old_rates), manifest(new_rates)
    result, digest = apply_changes(old, manifest_digest(old), diff(old, new))
    assert {team.id: team for team in result.teams} == {
        team.id: team for team in new.teams
    }
    assert digest == manifest_digest(new)


def test_chain_of_changes_ends_in_a_new_base() -> None:
    """Guards against a chain of unbounded length, which joining instances must read."""
    store = ConfigurationStore()
    for number in range(2 * MAX_CHAIN_LENGTH):
        head = store.publish(manifest({"t1": 1.0 + number}))
        assert head.revision - head.base_revision < MAX_CHAIN_LENGTH


@given(st.binary(max_size=300))
def test_fuzz_random_documents_are_faults(data: bytes) -> None:
    """Guards against an exception on bytes that are not a manifest."""
    assert isinstance(read_manifest(data), Faults)


@pytest.mark.parametrize("name", ["tinware-lagos", "baul-andina"])
def test_example_manifests_have_no_faults(name: str) -> None:
    """Guards against examples that the current checks refuse."""
    path = Path(__file__).parent.parent / "examples" / f"{name}.json"
    assert not isinstance(read_manifest(path.read_bytes()), Faults)


def test_committed_schema_is_the_generated_one() -> None:
    """Guards against a stale schema file, which the users' pipeline checks with."""
    path = Path(__file__).parent.parent / "schema" / "manifest.schema.json"
    assert path.read_text(encoding="utf-8") == schema_text()


@pytest.mark.parametrize("name", ["tinware-lagos", "baul-andina"])
def test_example_manifests_match_the_schema(name: str) -> None:
    """Guards against a schema that refuses what the checks accept."""
    path = Path(__file__).parent.parent / "examples" / f"{name}.json"
    jsonschema.validate(msgspec.json.decode(path.read_bytes()), schema_document())
