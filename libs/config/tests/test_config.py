"""Tests of the operators' library and its checks."""

from cassiahold.config import (
    Configuration,
    Key,
    Limit,
    Queue,
    Service,
    Team,
    new_key,
)
from cassiahold.config.checks import Level, run_checks
from cassiahold.config.keys import matches_key_hash
from cassiahold.core.conf.loading import parse_yaml
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.testing import expect_error, function_tests

LIMIT = Limit(cores=10, memory_gb=20)


def ids(configuration: Configuration, level: Level) -> list[str]:
    return [
        found.id for found in run_checks(configuration) if found.level is level
    ]


def test_what_is_printed_is_accepted() -> None:
    written = Configuration(
        teams=(Team(name='red', share=3, limit=LIMIT),),
        queues=(Queue(name='jobs', team='red', open=True),),
        services=(Service(name='prices', team='red'),),
    )
    assert parse_yaml(written.to_yaml(), Configuration) == written


def test_faults_name_line_and_value() -> None:
    text = 'teams:\n- name: red\n  limit:\n    cores: many\n    memory_gb: 1\n'
    error = expect_error(
        ErrorKind.BAD_CONFIGURATION,
        lambda: parse_yaml(
            text, Configuration, 'my.yaml', ErrorKind.BAD_CONFIGURATION
        ),
    )
    assert "my.yaml, line 4, value 'many'" in error.detail
    assert 'Expected `float`' in error.detail


def test_an_unknown_name_is_pointed_at() -> None:
    error = expect_error(
        ErrorKind.BAD_SETTINGS,
        lambda: parse_yaml('queues: []\ntaems: []\n', Configuration, 'my.yaml'),
    )
    assert 'line 2' in error.detail
    assert 'taems' in error.detail


def test_checks_find_what_does_not_fit_together() -> None:
    bad = Configuration(
        teams=(Team(name='red', limit=LIMIT), Team(name='red', limit=LIMIT)),
        queues=(Queue(name='jobs', team='blue'),),
    )
    assert ids(bad, Level.ERROR) == ['config.E001', 'config.E002']


def test_warnings_do_not_stop_a_configuration() -> None:
    odd = Configuration(
        teams=(Team(name='red', limit=Limit(cores=0, memory_gb=1)),),
        queues=(
            Queue(name='jobs', team='red'),
            Queue(name='all', team='red', open=True, may_be_urgent=True),
        ),
    )
    assert not ids(odd, Level.ERROR)
    assert ids(odd, Level.WARNING) == [
        'config.W001',
        'config.W002',
        'config.W003',
    ]


def test_a_key_is_kept_as_a_hash() -> None:
    made = new_key('red-1')
    key_id, _, secret = made.presented.partition('.')
    assert key_id == 'red-1'
    assert secret not in repr(made.key)
    assert matches_key_hash(secret, made.key.sha256)
    assert not matches_key_hash(f'{secret}0', made.key.sha256)


def test_keys_of_teams_must_differ() -> None:
    key = Key(id='same', sha256='0' * 64)
    bad = Configuration(
        teams=(
            Team(name='red', limit=LIMIT, keys=(key,)),
            Team(name='blue', limit=LIMIT, keys=(key,)),
        )
    )
    assert ids(bad, Level.ERROR) == ['config.E001']


load_tests = function_tests(globals())
