"""Reads YAML into typed structures and names the line of each fault."""

import pathlib
import re
import typing

import msgspec
import yaml

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

_Loaded = typing.TypeVar('_Loaded')
_PATH_PATTERN: typing.Final = re.compile(r' - at `(?:key in )?(\$[^`]*)`')
_PATH_STEP_PATTERN: typing.Final = re.compile(r'\.([^.\[]+)|\[(\d+|\.\.\.)\]')
_UNKNOWN_FIELD_PATTERN: typing.Final = re.compile('unknown field `([^`]+)`')


def load_yaml(
    path: pathlib.Path,
    target_type: type[_Loaded],
    error_kind: ErrorKind = ErrorKind.BAD_SETTINGS,
) -> _Loaded:
    """Return the file's content as ``kind``.

    Raises ``CassiaholdError`` that names the file, the line, the value and
    what was expected.
    """
    try:
        text = path.read_text()
    except OSError as exc:
        raise CassiaholdError(
            error_kind, f'cannot read {path}: {exc.strerror}'
        ) from exc
    return parse_yaml(text, target_type, str(path), error_kind)


def parse_yaml(
    text: str,
    target_type: type[_Loaded],
    source: str = '<text>',
    error_kind: ErrorKind = ErrorKind.BAD_SETTINGS,
) -> _Loaded:
    """Return ``text`` as ``kind``; ``source`` names it in errors."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        raw = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise CassiaholdError(error_kind, f'{source}: {exc}') from exc
    _reject_duplicate_keys(root, source, error_kind)
    try:
        return msgspec.convert(raw or {}, type=target_type)
    except msgspec.ValidationError as exc:
        raise CassiaholdError(
            error_kind, _message_with_location(source, root, str(exc))
        ) from exc


def _reject_duplicate_keys(
    node: yaml.Node | None, source: str, error_kind: ErrorKind
) -> None:
    # YAML itself would silently keep the last of two equal names.
    if isinstance(node, yaml.SequenceNode):
        for element in node.value:
            _reject_duplicate_keys(element, source, error_kind)
    elif isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, child in node.value:
            if key.value in seen:
                raise CassiaholdError(
                    error_kind,
                    f'{source}, line {key.start_mark.line + 1}: '
                    f'{key.value!r} is given twice',
                )
            seen.add(key.value)
            _reject_duplicate_keys(child, source, error_kind)


def _message_with_location(
    source: str, root: yaml.Node | None, message: str
) -> str:
    match = _PATH_PATTERN.search(message)
    steps = _PATH_STEP_PATTERN.findall(match.group(1)) if match else []
    node = _node_at_path(root, [name or index for name, index in steps])
    unknown = _UNKNOWN_FIELD_PATTERN.search(message)
    if unknown and isinstance(node, yaml.MappingNode):
        node = _key_node(node, unknown.group(1)) or node
    if node is None:
        return f'{source}: {message}'
    shown = f', value {node.value!r}' if _is_scalar(node) else ''
    return f'{source}, line {node.start_mark.line + 1}{shown}: {message}'


def _is_scalar(node: yaml.Node) -> bool:
    return isinstance(node, yaml.ScalarNode)


def _node_at_path(
    node: yaml.Node | None, steps: typing.Sequence[str]
) -> yaml.Node | None:
    for step in steps:
        if isinstance(node, yaml.SequenceNode) and step.isdigit():
            node = node.value[int(step)]
        elif isinstance(node, yaml.MappingNode):
            node = _value_node(node, step) or node
    return node


def _value_node(node: yaml.MappingNode, name: str) -> yaml.Node | None:
    for key, child in node.value:
        if key.value == name:
            return typing.cast(yaml.Node, child)
    return None


def _key_node(node: yaml.MappingNode, name: str) -> yaml.Node | None:
    for key, _ in node.value:
        if key.value == name:
            return typing.cast(yaml.Node, key)
    return None
