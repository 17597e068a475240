"""Tests of settings, logs, errors and resources."""

import pathlib
import tempfile
import typing

from cassiahold.core.conf.settings import Settings, load_settings
from cassiahold.core.exceptions import (
    RESPONSE_BY_KIND,
    ErrorKind,
    ExecutionStatus,
)
from cassiahold.core.logs import format_event
from cassiahold.core.resources import Resources
from cassiahold.core.testing import expect_error, function_tests

CELL: typing.Final = """\
name: small
hosts:
- {name: a, data_centre: here, gateway: 127.0.0.1:1, scheduler: 127.0.0.1:2,
   coordinator: 127.0.0.1:3}
scheduler_groups:
- {name: here, replicas: [a]}
coordinator_group: {name: coordinator, replicas: [a]}
"""
HOST: typing.Final = """\
host: a
cell_file: cell.yaml
data_folder: data
tls: {mode: plain}
"""


def load(host: str = HOST, cell: str = CELL) -> Settings:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'host.yaml'
        path.write_text(host)
        (path.parent / 'cell.yaml').write_text(cell)
        return load_settings(path)


def refused(host: str = HOST, cell: str = CELL) -> str:
    return expect_error(ErrorKind.BAD_SETTINGS, lambda: load(host, cell)).detail


def test_settings_have_defaults() -> None:
    settings = load()
    assert settings.own_host.name == 'a'
    assert settings.cell.timing.worker_lease_s == 10
    assert settings.host.http_threads == 48


def test_a_wrong_type_names_line_value_and_type() -> None:
    detail = refused(HOST + 'http_threads: lots\n')
    assert 'host.yaml, line 5' in detail
    assert "'lots'" in detail
    assert 'Expected `int`' in detail


def test_an_unknown_setting_is_refused() -> None:
    detail = refused(HOST + 'htpp_threads: 4\n')
    assert 'line 5' in detail
    assert 'htpp_threads' in detail


def test_impossible_combinations_are_refused() -> None:
    assert 'ca_file is empty' in refused(HOST.replace('plain', 'mutual'))
    assert 'trace_file' in refused(HOST + 'trace_exporter: file\n')
    assert 'must be at least' in refused(
        cell=CELL + 'timing: {election_s: 0.2}\n'
    )
    assert 'at least twice' in refused(
        cell=CELL + 'timing: {worker_lease_s: 1.5}\n'
    )


def test_names_and_addresses_are_checked() -> None:
    assert 'not listed' in refused(HOST.replace('host: a', 'host: b'))
    assert 'IP number' in refused(cell=CELL.replace('127.0.0.1:1', 'web:1'))
    assert '1-65535' in refused(cell=CELL.replace('127.0.0.1:1', '127.0.0.1:0'))
    assert "unknown host 'z'" in refused(
        cell=CELL.replace('replicas: [a]', 'replicas: [z]')
    )
    assert 'must be named after' in refused(
        cell=CELL.replace('name: here', 'name: there')
    )


def test_a_missing_file_is_named() -> None:
    error = expect_error(
        ErrorKind.BAD_SETTINGS,
        lambda: load_settings(pathlib.Path('nowhere/host.yaml')),
    )
    assert 'nowhere/host.yaml' in error.detail


def test_a_name_given_twice_is_refused() -> None:
    detail = refused(HOST + 'host: b\n')
    assert "line 5: 'host' is given twice" in detail


def test_broken_yaml_is_named() -> None:
    assert 'host.yaml' in refused('host: [a\n')


def test_every_error_kind_has_an_answer() -> None:
    assert set(RESPONSE_BY_KIND) == set(ErrorKind)
    # A refusal by the caller's own fault never ran.
    for kind, row in RESPONSE_BY_KIND.items():
        if row.http_status < 500:
            assert row.execution is ExecutionStatus.NOT_RUN, kind


def test_one_line_for_each_event() -> None:
    line = format_event('moved', team='red', note='two words', share=0.5)
    assert line == 'event=moved team=red note="two words" share=0.5'
    assert '\n' not in format_event('odd', text='a\nb')


def test_amounts_compare_in_every_dimension() -> None:
    small, large = Resources(1, 2, 0), Resources(2, 2, 1)
    assert small.fits_in(large)
    assert not large.fits_in(small)
    assert small + large - large == small
    assert small.dominant_share(Resources(4, 4, 0)) == 0.5


load_tests = function_tests(globals())
