"""Helpers for tests that are written as functions, and a test runner.

A test module ends with ``load_tests = function_tests(globals())``.  Run
``python -m cassiahold.core.testing FOLDER`` to run every ``tests`` folder.
"""

import pathlib
import sys
import typing
import unittest

from absl import logging

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

KNOWN_RED_FILE: typing.Final = 'KNOWN-RED.txt'


def function_tests(
    namespace: dict[str, typing.Any],
) -> typing.Callable[..., unittest.TestSuite]:
    """Return a ``load_tests`` hook for the module's ``test_*`` functions."""

    def load_tests(*_: object) -> unittest.TestSuite:
        return unittest.TestSuite(
            unittest.FunctionTestCase(member)
            for name, member in list(namespace.items())
            if name.startswith('test_') and callable(member)
        )

    return load_tests


def expect_error(
    kind: ErrorKind, call: typing.Callable[[], typing.Any]
) -> CassiaholdError:
    """Return the ``CassiaholdError`` that ``call`` raises.

    Raises ``AssertionError`` if it raises none or one of another kind.
    """
    try:
        call()
    except CassiaholdError as exc:
        if exc.kind is not kind:
            raise AssertionError(f'expected {kind.value}, got {exc}') from exc
        return exc
    raise AssertionError(f'expected {kind.value}, nothing was raised')


def skip_known_failures(
    suite: unittest.TestSuite, names: typing.Container[str]
) -> unittest.TestSuite:
    """Return a suite without the named tests; print each that is skipped."""
    kept = unittest.TestSuite()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            kept.addTest(skip_known_failures(test, names))
        elif test.id() in names:
            sys.stdout.write(f'skipped, see {KNOWN_RED_FILE}: {test.id()}\n')
        else:
            kept.addTest(test)
    return kept


def _known_red_tests(root: pathlib.Path) -> set[str]:
    path = root / KNOWN_RED_FILE
    lines = path.read_text().splitlines() if path.exists() else ()
    return {line for line in lines if line.startswith('test_')}


def run_all(root: pathlib.Path) -> bool:
    """Run each ``tests`` folder of ``root``; return whether all tests pass.

    Also returns False when no test passes.
    """
    logging.set_verbosity(logging.FATAL)
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    folders = [*root.glob('*/*/tests'), *root.glob('*/tests')]
    for folder in sorted(folders):
        sys.path.insert(0, str(folder))
        suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
        sys.path.remove(str(folder))
    suite = skip_known_failures(suite, _known_red_tests(root))
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(outcome.failures) + len(outcome.errors)
    skipped = len(outcome.skipped)
    passed = outcome.testsRun - failed - skipped
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return not failed and passed > 0


def _main() -> int:
    folder = sys.argv[1] if len(sys.argv) > 1 else '.'
    return int(not run_all(pathlib.Path(folder).resolve()))


if __name__ == '__main__':
    sys.exit(_main())
