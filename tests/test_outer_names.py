"""Names that other programs and stored data know: each stands in the file that the page names beside it."""

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs/design/outer-names.md"
LINE = re.compile(r"- `(.+)` in (\S+)")
FEWEST_NAMES = 900  # on the page: it may grow, and a part of it may not be lost
SHORTEST_WITHIN_TEXT = 3  # characters: shorter names stand in longer texts by chance


def docstrings(tree: ast.AST) -> set[int]:
    """Identities of the nodes that are docstrings or other bare strings."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def texts(tree: ast.AST) -> Iterator[str]:
    """String and bytes constants without docstrings, parts of f-strings among them."""
    documentation = docstrings(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in documentation:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def identifiers(tree: ast.AST) -> Iterator[str]:
    """Identifiers that are written out under their own names: classes, their fields, and keywords of calls."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            yield node.name
            for part in node.body:
                if isinstance(part, ast.AnnAssign) and isinstance(part.target, ast.Name):
                    yield part.target.id
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg


class FileNames:
    """What one source file writes out."""

    def __init__(self, source: str) -> None:
        tree = ast.parse(source)
        self.texts = set(texts(tree))
        self.identifiers = set(identifiers(tree))

    def has(self, name: str) -> bool:
        if name in self.texts or name in self.identifiers:
            return True
        whole = re.compile(rf"(?<!\w){re.escape(name)}(?!\w)" if name[-1].isalnum() else re.escape(name))
        if len(name) < SHORTEST_WITHIN_TEXT:  # only as a field of a text: `c=`, `,d=`
            whole = re.compile(rf"(?<!\w){re.escape(name)}=")
        return any(whole.search(text) for text in self.texts)


def listed(page: str) -> list[tuple[str, str]]:
    """Names and files of the page, in its order."""
    return [(found[1], found[2]) for line in page.splitlines() if (found := LINE.fullmatch(line))]


class OuterNames(unittest.TestCase):
    def test_each_listed_name_is_in_its_file(self) -> None:
        names = listed(PAGE.read_text())
        self.assertGreater(len(names), FEWEST_NAMES)
        files = {file: FileNames((ROOT / file).read_text()) for file in sorted({file for _, file in names})}
        gone = [f"{name} in {file}" for name, file in names if not files[file].has(name)]
        self.assertEqual(gone, [])

    def test_every_line_of_the_list_is_read(self) -> None:
        lines = [line for line in PAGE.read_text().splitlines() if line.startswith("- ")]
        self.assertEqual(len(listed("\n".join(lines))), len(lines))

    def test_a_renamed_field_or_string_is_noticed(self) -> None:
        before = FileNames('class Table(Struct):\n    """span"""\n    span_ms: float\n\n\nNAME = {"domain.span": 1}\n')
        self.assertTrue(before.has("span_ms"))
        self.assertTrue(before.has("domain.span"))
        renamed = FileNames(
            'class Table(Struct):\n    """span_ms"""\n    length: float\n\n\nNAME = {"domain.spans": 1}\n'
        )
        self.assertFalse(renamed.has("span_ms"))
        self.assertFalse(renamed.has("domain.span"))

    def test_a_short_name_counts_as_a_field_only(self) -> None:
        self.assertTrue(FileNames('TEXT = "/*id=7,c=w"').has("c"))
        self.assertFalse(FileNames('TEXT = "a c b"').has("c"))


if __name__ == "__main__":
    unittest.main()
