"""Loading of YAML into typed structures; errors name the faulty line."""

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
    """Return the content of a YAML file as ``target_type``.

    Raises ``CassiaholdError`` of ``error_kind`` that names the file, the
    line, the value and what was expected.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise CassiaholdError(
            error_kind, f'cannot read {path}: {exc.strerror}'
        ) from exc
    except UnicodeDecodeError as exc:
        raise CassiaholdError(error_kind, f'{path}: {exc}') from exc
    return parse_yaml(text, target_type, str(path), error_kind)


def parse_yaml(
    text: str,
    target_type: type[_Loaded],
    source: str = '<text>',
    error_kind: ErrorKind = ErrorKind.BAD_SETTINGS,
) -> _Loaded:
    """Return YAML text as ``target_type``; errors call it ``source``."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        # The loader raises ValueError for a date or a number out of range.
        raise CassiaholdError(error_kind, f'{source}: {exc}') from exc
    _reject_duplicate_keys(root, source, error_kind)
    try:
        return msgspec.convert(document or {}, type=target_type)
    except msgspec.ValidationError as exc:
        raise CassiaholdError(
            error_kind, _message_with_location(source, root, str(exc))
        ) from exc


def _reject_duplicate_keys(
    node: yaml.Node | None, source: str, error_kind: ErrorKind
) -> None:
    # The YAML loader would silently keep the last of two equal keys.
    if isinstance(node, yaml.SequenceNode):
        for element in node.value:
            _reject_duplicate_keys(element, source, error_kind)
    elif isinstance(node, yaml.MappingNode):
        seen_keys: set[str] = set()
        for key, child in node.value:
            if key.value in seen_keys:
                raise CassiaholdError(
                    error_kind,
                    f'{source}, line {key.start_mark.line + 1}: '
                    f'{key.value!r} is given twice',
                )
            seen_keys.add(key.value)
            _reject_duplicate_keys(child, source, error_kind)


def _message_with_location(
    source: str, root: yaml.Node | None, message: str
) -> str:
    match = _PATH_PATTERN.search(message)
    steps = _PATH_STEP_PATTERN.findall(match.group(1)) if match else []
    node = _node_at_path(root, [name or index for name, index in steps])
    unknown_field = _UNKNOWN_FIELD_PATTERN.search(message)
    if unknown_field and isinstance(node, yaml.MappingNode):
        node = _key_node(node, unknown_field.group(1)) or node
    if node is None:
        return f'{source}: {message}'
    value_text = f', value {node.value!r}' if _is_scalar(node) else ''
    return f'{source}, line {node.start_mark.line + 1}{value_text}: {message}'


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
