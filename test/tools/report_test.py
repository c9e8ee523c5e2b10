"""Tests of tools/report.py."""
import contextlib
import html.parser
import importlib.util
import io
import json
import pathlib
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools" / "report.py"
SPEC = importlib.util.spec_from_file_location("report", TOOL)
report = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(report)

RUN = {"type": "run", "run": "1", "seed": 1, "rate": 10, "seconds": 2, "sessions": 5, "requests": 20, "unfinished": 0,
       "unsent": 0, "started_unix_ms": 1000000, "passed": True}
KIND = {"type": "kind", "kind": "read", "done": 18, "not_run": 2, "unknown": 0, "failed": 0, "p500_us": 5000,
        "p950_us": 6000, "p990_us": 7000, "p999_us": 8000, "max_us": 9000}


def interval(second, done=9, errors=None):
    return {"type": "interval", "at_us": second * 1000000, "length_us": 1000000, "done": done, "not_run": 0, "unknown": 0,
            "failed": 0, "p500_us": 5000 * bool(done), "p950_us": 6000, "p990_us": 7000, "p999_us": 8000, "aged_reads": done,
            "replica_reads": done, "sessions_used": 3, "errors": errors or {}}


class Page(html.parser.HTMLParser):
    """Checks that elements are closed in order, and collects references to other files."""

    def __init__(self):
        super().__init__()
        self.open, self.references = [], []

    def handle_starttag(self, tag, attrs):
        self.references += [value for name, value in attrs if name in ("src", "href")]
        if tag != "meta":
            self.open.append(tag)

    def handle_startendtag(self, tag, attrs):
        self.references += [value for name, value in attrs if name in ("src", "href")]

    def handle_endtag(self, tag):
        assert self.open and self.open[-1] == tag, (tag, self.open)
        self.open.pop()


class ReportTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def path(self, name, text=None):
        path = pathlib.Path(self.folder.name) / name
        if text is not None:
            path.write_text(text, encoding="utf-8")
        return str(path)

    def load_run(self, *items):
        return self.path("run.json", "".join(json.dumps(item) + "\n" for item in items))

    def page(self, *arguments):
        output = self.path("page.html")
        self.assertEqual(report.main([*arguments, "--output", output]), 0)
        text = pathlib.Path(output).read_text(encoding="utf-8")
        parsed = Page()
        parsed.feed(text)
        self.assertEqual(parsed.open, [])
        self.assertEqual(parsed.references, [], "the page needs no other file")
        return text

    def error(self, *arguments):
        error = io.StringIO()
        with contextlib.redirect_stderr(error):
            self.assertEqual(report.main([*arguments, "--output", self.path("page.html")]), 2)
        return error.getvalue()

    def test_load_run(self):
        """Guards against a page that lacks a gap, a mark, the reason of a refusal or the parts of a change of primary."""
        run = self.load_run(RUN, KIND, interval(0), interval(1, 0, {"57P03 <no> primary": 2}),
                            {"type": "gap", "group": "g", "at_us": 500000, "length_us": 700000},
                            {"type": "violation", "promise": "lost write", "detail": "row <1>"})
        marks = self.path("marks", "1000400 primary killed\n9 before the run\n")
        at = report.datetime.datetime.fromtimestamp(1001.2).isoformat(timespec="milliseconds")
        log = self.path("log", at + " INFO [failover] g: e is primary in term 2 (x silent for a; total 700 ms, detection 650 ms, "
                        "earlier terms 0 ms, consensus 40 ms, fencing 1 ms, leases 2 ms, promotion 3 ms, propagation 4 ms)\n")
        text = self.page("--marks", marks, "--control-log", log, run)
        for expected in ("g: 700 ms from 0.50 s", "0.40 s", "primary killed", "57P03 &lt;no&gt; primary: 2", "detection: 650 ms",
                         "1.20 s g: e is primary in term 2", "700 ms", "row &lt;1&gt;", "x silent for a"):
            self.assertIn(expected, text)
        self.assertNotIn("before the run", text)

    def test_nothing_done(self):
        """Guards against a division by zero where nothing was answered."""
        text = self.page(self.load_run(RUN, interval(0, 0), interval(1, 0)))
        self.assertIn("No request was done.", text)
        self.assertIn("No request was refused or failed.", text)

    def test_random_runs(self):
        """Guards against figures of randomised runs that are passed over."""
        runs = self.path("runs.txt", "part seed 1 \n  fault crash: 6\n  event promotion: 7\n"
                         "  sample failover share 1 detection ms: n 2, median 703, p90 711, p99 741, max 742\n"
                         "  sample gap of writes ms: n 2, median 1, p90 2, p99 3, max 4\n5 passed, 1 failed\n")
        text = self.page(runs)
        for expected in ("5 passed", '<span class="bad">1 failed', "<td>crash</td><td>6</td>", "<td>promotion</td><td>7</td>",
                         "detection: 703 ms", "<td>742</td>"):
            self.assertIn(expected, text)

    def test_errors(self):
        """Guards against input that is passed over, or an error that does not name the file."""
        missing = self.path("missing")
        self.assertEqual(self.error(missing), f"{missing}: No such file or directory\n")
        empty = self.path("empty", "\n")
        self.assertEqual(self.error(empty), f"{empty}: is empty\n")
        other = self.path("other", "hello\n")
        self.assertEqual(self.error(other), f"{other}: is neither a load run nor the output of random_runs\n")
        broken = self.path("broken", json.dumps(RUN) + "\n{\n")
        self.assertEqual(self.error(broken), f"{broken}:2: is not a line of hyssoprock-load --json\n")
        old = self.load_run(RUN)
        self.assertEqual(self.error(old), f"{old}: has no interval with at_us; it was written by an older hyssoprock-load\n")
        binary = self.path("binary")
        pathlib.Path(binary).write_bytes(b"\xff\xfe")
        self.assertEqual(self.error(binary), f"{binary}: is not UTF-8 text\n")
        marks = self.path("marks", "soon killed\n")
        good = self.load_run(RUN, interval(0))
        self.assertEqual(self.error("--marks", marks, good), f"{marks}:1: expected \"UNIX_MILLISECONDS TEXT\"\n")
        log = self.path("log", "noon INFO [failover] g: e is primary in term 2 (x; total 1 ms, detection 1 ms)\n")
        self.assertEqual(self.error("--control-log", log, good), f"{log}: \"noon\" is not a time\n")
        error = io.StringIO()
        with contextlib.redirect_stderr(error):
            self.assertEqual(report.main([good, "--output", self.path("no/such/page")]), 2)
        self.assertEqual(error.getvalue(), f"cannot write {self.path('no/such/page')}: No such file or directory\n")

    def test_arguments(self):
        """Guards against a wrong command line that is carried out."""
        for arguments in ([], ["run"], ["--output", "x"], ["run", "--output", "x", "--mark", "y", "--wrong"]):
            with contextlib.redirect_stderr(io.StringIO()) as error, self.assertRaises(SystemExit) as end:
                report.main(arguments)
            self.assertEqual(end.exception.code, 2)
            self.assertIn("usage: tools/report.py", error.getvalue())


if __name__ == "__main__":
    unittest.main()
