"""Strict YAML parser: no anchors, no duplicate keys, bounded nesting."""

import re

import yaml

from apricotseam.errors import InvalidFileError

MAX_FILE_BYTES = 8 << 20
MAX_NESTING = 32

# libyaml's parser in C is about ten times faster, but PyYAML may have been
# built without it.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_PATH_SEGMENT = re.compile(r"\.([A-Za-z0-9_]+)|\[(\d+)\]")


class YamlDocument:
    """A parsed YAML document that knows the line of each value.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        File name to show in error messages.

    Raises
    ------
    InvalidFileError
        If the text is not valid YAML, is too large or too deeply nested,
        or uses anchors, duplicate keys or keys that are not strings.

    Examples
    --------
    >>> document = YamlDocument("a:\\n  - b: 1\\n  - b: 2\\n", "file")
    >>> document.data
    {'a': [{'b': 1}, {'b': 2}]}
    >>> document.line_of("$.a[1].b")
    3
    """

    __slots__ = ("_node", "_source", "data")

    def __init__(self, text, source):
        self._source = source
        self._check_size(text)
        try:
            self._check_events(text)
            self._node = yaml.compose(text, Loader=_Loader)
            self._check_keys(self._node)
            self.data = _construct(self._node)
        except yaml.MarkedYAMLError as error:
            self._fail(error.problem_mark, error.problem)
        except (yaml.YAMLError, ValueError) as error:
            self._fail(None, f"not YAML: {error}")

    def line_of(self, path):
        """Return the line number, from 1, of a path such as ``$.a[1].b``.

        If the path is not in the document, the line of its nearest
        existing ancestor is returned.
        """
        node = self._node
        for name, index in _PATH_SEGMENT.findall(path):
            child = _child(node, name, index)
            if child is None:
                break
            node = child
        return node.start_mark.line + 1 if node is not None else 1

    def _check_size(self, text):
        size = len(text.encode("utf-8", "surrogateescape"))
        if size > MAX_FILE_BYTES:
            raise InvalidFileError(
                f"{self._source}: file has {size} bytes, at most"
                f" {MAX_FILE_BYTES} are allowed",
                "split the file into several scopes",
            )

    def _check_events(self, text):
        depth = 0
        for event in yaml.parse(text, Loader=_Loader):
            if getattr(event, "anchor", None) is not None:
                self._fail(event.start_mark, "anchors are not allowed")
            if isinstance(event, yaml.CollectionStartEvent):
                depth += 1
            elif isinstance(event, yaml.CollectionEndEvent):
                depth -= 1
            if depth > MAX_NESTING:
                self._fail(
                    event.start_mark,
                    f"nesting deeper than {MAX_NESTING} levels",
                )

    def _check_keys(self, node):
        if isinstance(node, yaml.SequenceNode):
            for child in node.value:
                self._check_keys(child)
        if not isinstance(node, yaml.MappingNode):
            return
        seen = set()
        for key, value in node.value:
            is_text = key.tag == "tag:yaml.org,2002:str"
            if not is_text or key.value in seen:
                self._fail(
                    key.start_mark,
                    f"key {key.value!r} is a duplicate or not a string",
                )
            seen.add(key.value)
            self._check_keys(value)

    def _fail(self, mark, problem):
        line = f":{mark.line + 1}" if mark is not None else ""
        raise InvalidFileError(
            f"{self._source}{line}: {problem}",
            "correct the YAML at this place",
        )


def _construct(node):
    if node is None:
        return None
    return yaml.constructor.SafeConstructor().construct_document(node)


def _child(node, name, index):
    """Return the child node with a key or index, or None."""
    if index and isinstance(node, yaml.SequenceNode):
        number = int(index)
        return node.value[number] if number < len(node.value) else None
    if name and isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == name:
                return value
    return None
