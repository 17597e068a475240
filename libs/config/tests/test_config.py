"""Tests of the configuration objects, their checks and keys."""

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


def finding_ids(configuration: Configuration, level: Level) -> list[str]:
    return [
        finding.id
        for finding in run_checks(configuration)
        if finding.level is level
    ]


def test_printed_yaml_loads_unchanged() -> None:
    original = Configuration(
        teams=(Team(name='red', share=3, limit=LIMIT),),
        queues=(Queue(name='jobs', team='red', open=True),),
        services=(Service(name='prices', team='red'),),
    )
    assert parse_yaml(original.to_yaml(), Configuration) == original


def test_type_error_names_file_line_and_value() -> None:
    text = 'teams:\n- name: red\n  limit:\n    cores: many\n    memory_gb: 1\n'
    error = expect_error(
        ErrorKind.BAD_CONFIGURATION,
        lambda: parse_yaml(
            text, Configuration, 'my.yaml', ErrorKind.BAD_CONFIGURATION
        ),
    )
    assert "my.yaml, line 4, value 'many'" in error.detail
    assert 'Expected `float`' in error.detail


def test_unknown_field_error_names_line() -> None:
    error = expect_error(
        ErrorKind.BAD_SETTINGS,
        lambda: parse_yaml('queues: []\ntaems: []\n', Configuration, 'my.yaml'),
    )
    assert 'line 2' in error.detail
    assert 'taems' in error.detail


def test_duplicate_and_unknown_teams_are_errors() -> None:
    invalid = Configuration(
        teams=(Team(name='red', limit=LIMIT), Team(name='red', limit=LIMIT)),
        queues=(Queue(name='jobs', team='blue'),),
    )
    assert finding_ids(invalid, Level.ERROR) == ['config.E001', 'config.E002']


def test_warnings_are_not_errors() -> None:
    suspicious = Configuration(
        teams=(Team(name='red', limit=Limit(cores=0, memory_gb=1)),),
        queues=(
            Queue(name='jobs', team='red'),
            Queue(name='all', team='red', open=True, may_be_urgent=True),
        ),
    )
    assert not finding_ids(suspicious, Level.ERROR)
    assert finding_ids(suspicious, Level.WARNING) == [
        'config.W001',
        'config.W002',
        'config.W003',
    ]


def test_key_stores_only_the_hash_of_its_secret() -> None:
    made = new_key('red-1')
    key_id, _, secret = made.presented.partition('.')
    assert key_id == 'red-1'
    assert secret not in repr(made.key)
    assert matches_key_hash(secret, made.key.sha256)
    assert not matches_key_hash(f'{secret}0', made.key.sha256)


def test_key_id_of_two_teams_is_an_error() -> None:
    key = Key(id='same', sha256='0' * 64)
    invalid = Configuration(
        teams=(
            Team(name='red', limit=LIMIT, keys=(key,)),
            Team(name='blue', limit=LIMIT, keys=(key,)),
        )
    )
    assert finding_ids(invalid, Level.ERROR) == ['config.E001']


load_tests = function_tests(globals())
