"""Tests of commands that need no running cell."""

import contextlib
import io
import json
import pathlib
import tempfile

from cassiahold.cli.main import main
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.testing import function_tests

VALID_CONFIGURATION = """\
teams:
- {name: red, limit: {cores: 1, memory_gb: 1}}
queues:
- {name: jobs, team: red, open: true}
"""


def run_cli(*arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main(list(arguments))
    return status, out.getvalue(), err.getvalue()


def run_check(text: str, *options: str) -> tuple[int, str, str]:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'file.yaml'
        path.write_text(text)
        return run_cli(*options, 'check', str(path))


def test_explain_lists_every_error_kind() -> None:
    status, out, _ = run_cli('explain')
    assert status == 0
    assert all(kind.value in out for kind in ErrorKind)


def test_explain_describes_one_error_kind() -> None:
    _, out, _ = run_cli('explain', 'never_fits')
    assert 'No worker or limit can ever hold it.' in out
    status, _, err = run_cli('explain', 'never')
    assert status == 2
    assert "'never'" in err


def test_check_reports_line_and_finding_id() -> None:
    assert run_check(VALID_CONFIGURATION)[:2] == (0, 'no findings\n')
    status, _, err = run_check(
        VALID_CONFIGURATION.replace('cores: 1', 'cores: x')
    )
    assert status == 2
    assert 'line 2' in err
    status, out, _ = run_check(
        VALID_CONFIGURATION.replace('team: red', 'team: blue')
    )
    assert status == 2
    assert 'config.E002' in out
    assert 'hint' in out


def test_json_output_is_parseable() -> None:
    _, out, _ = run_check(
        VALID_CONFIGURATION.replace('open: true', ''), '--json'
    )
    assert json.loads(out)[0]['id'] == 'config.W002'
    _, _, err = run_cli('--json', 'check', 'nowhere.yaml')
    assert json.loads(err)['error'] == 'bad_configuration'


def test_unreachable_gateway_is_reported() -> None:
    status, _, err = run_cli('--gateway', '127.0.0.1:1', 'get')
    assert status == 3
    assert '127.0.0.1:1' in err
    assert 'not run' in err


def test_missing_key_file_is_named() -> None:
    status, _, err = run_cli('--operator-key-file', 'nowhere.key', 'get')
    assert status == 2
    assert 'nowhere.key' in err


load_tests = function_tests(globals())
