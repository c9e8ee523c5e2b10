#!/usr/bin/env python3
"""Turns results into one HTML page without outside references.

usage: tools/report.py [--marks FILE] [--control-log FILE]... --output FILE RUN...

RUN is a file of JSON lines (hyssoprock-load --json) or the saved output of random_runs. A marks file has lines
"UNIX_MILLISECONDS TEXT", for example the begin of a fault; a control log is that of a control host, from which the changes of
primary and their parts are read. Exit status: 0 done, 2 wrong arguments or unreadable input.
"""
import argparse
import datetime
import html
import json
import math
import re
import sys

WIDTH, LEFT, RIGHT, TOP, BOTTOM = 960, 64, 16, 18, 34
COLOURS = ["#4c78a8", "#f58518", "#54a24b", "#b279a2", "#e45756", "#72b7b2", "#9d755d", "#bab0ac"]
PARTS = ["detection", "earlier terms", "consensus", "fencing", "leases", "promotion", "propagation"]
PERCENTILES = [("p500_us", "p50"), ("p950_us", "p95"), ("p990_us", "p99"), ("p999_us", "p99.9")]
REASONS_MOST = 7

STYLE = """
body { font: 14px/1.45 sans-serif; color: #222; background: #fff; max-width: 1000px; margin: 24px auto; padding: 0 12px; }
h1 { font-size: 22px; } h2 { font-size: 17px; margin: 28px 0 4px; border-top: 1px solid #ddd; padding-top: 16px; }
h3 { font-size: 14px; margin: 18px 0 2px; } p { margin: 4px 0; } .note { color: #666; font-size: 12px; }
table { border-collapse: collapse; margin: 6px 0; } th, td { text-align: right; padding: 2px 10px; border-bottom: 1px solid #eee; }
th:first-child, td:first-child { text-align: left; } .bad { color: #b00020; font-weight: bold; }
svg { display: block; width: 100%; height: auto; } svg text { font: 11px sans-serif; fill: #444; }
.legend span { margin-right: 14px; white-space: nowrap; } .legend i { display: inline-block; width: 10px; height: 10px;
margin-right: 4px; }
"""


class InputError(Exception):
    """Input that cannot be used; the text names the file and what is wrong."""


def escape(text):
    return html.escape(str(text), quote=True)


def read_lines(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read().splitlines()
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise InputError(f"{path}: is not UTF-8 text") from error


def read_load_run(path, lines):
    """Items of a load run by type."""
    items = {}
    for number, line in enumerate(lines, 1):
        try:
            item = json.loads(line)
            items.setdefault(item["type"], []).append(item)
        except (ValueError, KeyError, TypeError) as error:
            raise InputError(f"{path}:{number}: is not a line of hyssoprock-load --json") from error
    for kind, key in (("run", "started_unix_ms"), ("interval", "at_us")):
        if kind not in items or key not in items[kind][0]:
            raise InputError(f"{path}: has no {kind} with {key}; it was written by an older hyssoprock-load")
    return items


def read_random_runs(path, lines):
    """Counts and samples of random_runs."""
    result = {"fault": [], "event": [], "samples": [], "verdict": None}
    number = r"(-?\d+)"
    for line in lines:
        if match := re.fullmatch(rf"\s+(fault|event) (.+): {number}", line):
            result[match[1]].append((match[2], int(match[3])))
        elif match := re.fullmatch(
                rf"\s+sample (.+): n {number}, median {number}, p90 {number}, p99 {number}, max {number}", line):
            result["samples"].append((match[1], [int(value) for value in match.groups()[1:]]))
        elif match := re.search(rf"{number} passed, {number} failed\s*$", line):
            result["verdict"] = (int(match[1]), int(match[2]))
    if result["verdict"] is None:
        raise InputError(f"{path}: is neither a load run nor the output of random_runs")
    return result


def read_marks(path):
    marks = []
    for number, line in enumerate(read_lines(path), 1):
        match = re.fullmatch(r"(\d+) (.+)", line)
        if not match:
            raise InputError(f"{path}:{number}: expected \"UNIX_MILLISECONDS TEXT\"")
        marks.append((int(match[1]), match[2]))
    return marks


def read_changes(path):
    """Changes of primary: time in Unix milliseconds, text, reason and parts."""
    changes = []
    for line in read_lines(path):
        match = re.search(r"^(\S+) .*\[failover\] (.+ is primary in term \d+) \((.+?); total (\d+) ms, (.+)\)", line)
        if not match:
            continue
        try:
            at = datetime.datetime.fromisoformat(match[1]).timestamp() * 1000
        except ValueError as error:
            raise InputError(f"{path}: \"{match[1]}\" is not a time") from error
        parts = {part: int(value) for part, value in re.findall(r"([a-z ]+?) (\d+) ms", match[5])}
        changes.append({"at": at, "text": match[2], "reason": match[3], "total": int(match[4]),
                        "parts": {name.strip(): value for name, value in parts.items()}})
    return changes


def nice_step(span, count=5):
    raw = max(span, 1e-9) / count
    power = 10 ** math.floor(math.log10(raw))
    return next(step * power for step in (1, 2, 5, 10) if raw <= step * power)


def number_text(value):
    return f"{value:g}" if abs(value) < 1e5 else f"{value:.0f}"


class Chart:
    """One diagram over the time of a run, in seconds."""

    def __init__(self, seconds, top, height=190, log=False, least=None):
        self.seconds, self.height, self.log = max(seconds, 1e-3), height, log
        self.low = (least or 1) if log else 0
        self.high = max(top, self.low * 10 if log else 1e-9)
        self.parts = []

    def x(self, second):
        return LEFT + min(max(second / self.seconds, 0), 1) * (WIDTH - LEFT - RIGHT)

    def y(self, value):
        if self.log:
            value = max(value, self.low)
            share = math.log(value / self.low) / math.log(self.high / self.low)
        else:
            share = value / self.high
        return self.height - BOTTOM - min(max(share, 0), 1) * (self.height - TOP - BOTTOM)

    def add(self, text):
        self.parts.append(text)

    def axes(self, unit):
        if self.log:
            ticks, tick = [], 10 ** math.floor(math.log10(self.low))
            while tick <= self.high * 1.0001:
                if tick >= self.low:
                    ticks.append(tick)
                tick *= 10
        else:
            step = nice_step(self.high, 4)
            ticks = [step * i for i in range(int(self.high / step + 1.0001))]
        for tick in ticks:
            y = self.y(tick)
            self.add(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y:.1f}" y2="{y:.1f}" stroke="#e6e6e6"/>'
                     f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">{number_text(tick)} {unit}</text>')
        step = nice_step(self.seconds, 10)
        for i in range(int(self.seconds / step + 1.0001)):
            x = self.x(step * i)
            self.add(f'<text x="{x:.1f}" y="{self.height - 16}" text-anchor="middle">{number_text(step * i)} s</text>')

    def marks(self, marks):
        for index, (second, text) in enumerate(marks, 1):
            x = self.x(second)
            self.add(f'<g><title>{escape(text)}</title><line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP}" y2="{self.height - BOTTOM}" '
                     f'stroke="#b00020" stroke-dasharray="4 3"/><text x="{x:.1f}" y="{TOP - 5}" '
                     f'text-anchor="middle" style="fill:#b00020">{index}</text></g>')

    def line(self, points, colour):
        """Points with None break the line."""
        path, begin = "", True
        for second, value in points:
            if value is None:
                begin = True
                continue
            path += f'{"M" if begin else "L"}{self.x(second):.1f} {self.y(value):.1f}'
            begin = False
        if path:
            self.add(f'<path d="{path}" fill="none" stroke="{colour}" stroke-width="1.6"/>')

    def bar(self, begin, end, low, high, colour, title):
        x, width = self.x(begin), max(self.x(end) - self.x(begin) - 0.6, 0.8)
        top = self.y(high)
        self.add(f'<rect x="{x:.1f}" y="{top:.1f}" width="{width:.1f}" height="{max(self.y(low) - top, 0.5):.1f}" '
                 f'fill="{colour}"><title>{escape(title)}</title></rect>')

    def svg(self, label):
        return (f'<svg viewBox="0 0 {WIDTH} {self.height}" role="img" aria-label="{escape(label)}">'
                + "".join(self.parts) + "</svg>")


def legend(names):
    return '<p class="legend">' + "".join(
        f'<span><i style="background:{colour}"></i>{escape(name)}</span>' for name, colour in names) + "</p>"


def table(head, rows):
    cells = lambda tag, row: "<tr>" + "".join(f"<{tag}>{escape(cell)}</{tag}>" for cell in row) + "</tr>"
    return "<table>" + cells("th", head) + "".join(cells("td", row) for row in rows) + "</table>"


def latency_chart(intervals, seconds, marks):
    values = [item[key] / 1000 for item in intervals for key, _ in PERCENTILES if item["done"]]
    if not values:
        return "<p>No request was done.</p>"
    chart = Chart(seconds, 10 ** math.ceil(math.log10(max(values) + 1e-9)), 230, log=True,
                  least=10 ** math.floor(math.log10(max(min(values), 0.1))))
    chart.axes("ms")
    names = []
    for (key, name), colour in zip(PERCENTILES, COLOURS):
        chart.line([((item["at_us"] + item["length_us"] / 2) / 1e6, item[key] / 1000 if item["done"] else None)
                    for item in intervals], colour)
        names.append((name, colour))
    chart.marks(marks)
    return legend(names) + chart.svg("latency percentiles over time")


def share_chart(intervals, seconds, marks):
    chart = Chart(seconds, 100, 150)
    chart.axes("%")
    chart.line([((item["at_us"] + item["length_us"] / 2) / 1e6,
                 100 * item["replica_reads"] / item["aged_reads"] if item["aged_reads"] else None)
                for item in intervals], COLOURS[2])
    chart.marks(marks)
    return chart.svg("share of reads on replicas over time")


def sessions_chart(intervals, seconds, marks, sessions):
    chart = Chart(seconds, max(sessions, 1), 150)
    chart.axes("")
    for item in intervals:
        begin = item["at_us"] / 1e6
        chart.bar(begin, begin + item["length_us"] / 1e6, 0, item["sessions_used"], COLOURS[0],
                  f'{item["sessions_used"]} of {sessions}')
    chart.marks(marks)
    return chart.svg("connections in use over time")


def refusals_chart(intervals, seconds, marks):
    totals = {}
    for item in intervals:
        for reason, count in item["errors"].items():
            totals[reason] = totals.get(reason, 0) + count
    if not totals:
        return "<p>No request was refused or failed.</p>"
    ranked = sorted(totals, key=lambda reason: (-totals[reason], reason))
    shown, rest = ranked[:REASONS_MOST], ranked[REASONS_MOST:]
    rows = [(reason, [reason]) for reason in shown] + ([("other reasons", rest)] if rest else [])
    chart = Chart(seconds, max(sum(item["errors"].values()) for item in intervals), 170)
    chart.axes("")
    for item in intervals:
        begin, low = item["at_us"] / 1e6, 0
        for (name, reasons), colour in zip(rows, COLOURS):
            count = sum(item["errors"].get(reason, 0) for reason in reasons)
            if count:
                chart.bar(begin, begin + item["length_us"] / 1e6, low, low + count, colour, f"{name}: {count}")
                low += count
    chart.marks(marks)
    names = [(f"{name}: {sum(totals[reason] for reason in reasons)}", colour)
             for (name, reasons), colour in zip(rows, COLOURS)]
    return legend(names) + chart.svg("refused and failed requests by reason over time")


def gaps_chart(gaps, seconds, marks):
    if not gaps:
        return "<p>No time of 200 ms or more without an acknowledged write.</p>"
    chart = Chart(seconds, max(gap["length_us"] for gap in gaps) / 1000, 150)
    chart.axes("ms")
    groups = sorted({gap["group"] for gap in gaps})
    for gap in gaps:
        begin, length = gap["at_us"] / 1e6, gap["length_us"] / 1e6
        chart.bar(begin, begin + length, 0, length * 1000, COLOURS[groups.index(gap["group"]) % len(COLOURS)],
                  f'{gap["group"]}: {length * 1000:.0f} ms from {begin:.2f} s')
    chart.marks(marks)
    return (legend([(group, COLOURS[i % len(COLOURS)]) for i, group in enumerate(groups)])
            + chart.svg("times without an acknowledged write")
            + table(["group", "from", "length"], [(gap["group"], f'{gap["at_us"] / 1e6:.2f} s', f'{gap["length_us"] / 1000:.0f} ms')
                                                  for gap in gaps]))


def stacked_parts(rows, label):
    """Rows of (name, text of the total, {part: ms}) as horizontal bars."""
    names = [part for part in PARTS if any(part in parts for _, _, parts in rows)]
    most = max([sum(parts.values()) for _, _, parts in rows] + [1])
    height, indent = 24, 330
    out = []
    for row, (name, total, parts) in enumerate(rows):
        y, x = row * height, float(indent)
        out.append(f'<text x="{indent - 8}" y="{y + 15}" text-anchor="end">{escape(name)}</text>')
        for part in names:
            value = parts.get(part, 0)
            width = value / most * (WIDTH - indent - 120)
            if value:
                out.append(f'<rect x="{x:.1f}" y="{y + 3}" width="{max(width, 1):.1f}" height="{height - 7}" '
                           f'fill="{COLOURS[names.index(part)]}"><title>{escape(part)}: {value} ms</title></rect>')
            x += width
        out.append(f'<text x="{x + 5:.1f}" y="{y + 15}">{escape(total)}</text>')
    return (legend([(name, COLOURS[i]) for i, name in enumerate(names)])
            + f'<svg viewBox="0 0 {WIDTH} {len(rows) * height + 4}" role="img" aria-label="{escape(label)}">'
            + "".join(out) + "</svg>"
            + table(["ms"] + names, [[name] + [parts.get(part, 0) for part in names] for name, _, parts in rows]))


def load_section(path, items, marks, changes):
    run = items["run"][0]
    intervals = items["interval"]
    seconds = max((item["at_us"] + item["length_us"]) / 1e6 for item in intervals)
    start = run["started_unix_ms"]
    shown = [((at - start) / 1000, text) for at, text in marks if 0 <= at - start <= seconds * 1000]
    out = [f"<h2>Load run {escape(path)}</h2>"]
    verdict = "all promises kept" if run["passed"] else '<span class="bad">promises broken or not checked</span>'
    out.append(f'<p>{run["requests"]} requests at {run["rate"]}/s for {run["seconds"]} s, seed {run["seed"]}, '
               f'{run["unfinished"]} unfinished, {run["unsent"]} unsent: {verdict}.</p>')
    for violation in items.get("violation", []):
        out.append(f'<p class="bad">{escape(violation["promise"])}: {escape(violation["detail"])}</p>')
    if shown:
        out.append(table(["mark", "at", "what"], [(i, f"{second:.2f} s", text) for i, (second, text) in enumerate(shown, 1)]))
    if items.get("kind"):
        out.append(table(["kind", "done", "not run", "unknown", "failed"] + [name + " ms" for _, name in PERCENTILES],
                         [[kind["kind"], kind["done"], kind["not_run"], kind["unknown"], kind["failed"]]
                          + [f"{kind[key] / 1000:.1f}" for key, _ in PERCENTILES] for kind in items["kind"]]))
        out.append('<p class="note">Transactions that their caller rolls back count as not run.</p>')
    out.append("<h3>Latency from the scheduled time, requests that were done</h3>" + latency_chart(intervals, seconds, shown))
    out.append("<h3>Share of reads with an age allowance that replicas served</h3>" + share_chart(intervals, seconds, shown))
    out.append("<h3>Connections of callers with a request under way, most in each interval</h3>"
               + sessions_chart(intervals, seconds, shown, run["sessions"]))
    out.append("<h3>Refused and failed requests by reason</h3>" + refusals_chart(intervals, seconds, shown))
    out.append("<h3>Times without an acknowledged write</h3>" + gaps_chart(items.get("gap", []), seconds, shown))
    within = [change for change in changes if 0 <= change["at"] - start <= seconds * 1000]
    if within:
        out.append("<h3>Changes of primary and their parts, as the control leader measured them</h3>")
        names = [f'{(change["at"] - start) / 1000:.2f} s {change["text"]}' for change in within]
        out.append(stacked_parts([(name, f'{change["total"]} ms', change["parts"]) for name, change in zip(names, within)],
                                 "parts of the changes of primary"))
        out.append(table(["change", "reason"], [[name, change["reason"]] for name, change in zip(names, within)]))
    return "".join(out)


def random_section(path, result):
    passed, failed = result["verdict"]
    out = [f"<h2>Randomised runs {escape(path)}</h2>",
           f'<p>{passed} passed, <span class="{"bad" if failed else ""}">{failed} failed</span>.</p>']
    for kind, title in (("fault", "Faults"), ("event", "Events")):
        if result[kind]:
            out.append(f"<h3>{title}</h3>" + table([kind, "number"], result[kind]))
    shares = {}
    for name, values in result["samples"]:
        if match := re.fullmatch(r"(.+) share \d+ (.+) ms", name):
            shares.setdefault(match[1], {})[match[2]] = values[1]
    if shares:
        out.append("<h3>Parts of the changes of primary, medians</h3>" + stacked_parts(
            [(name, f"sum {sum(parts.values())} ms", parts) for name, parts in sorted(shares.items())], "medians of parts"))
    if result["samples"]:
        out.append("<h3>Samples</h3>" + table(["sample", "n", "median", "p90", "p99", "max"],
                                              [[name] + values for name, values in result["samples"]]))
    return "".join(out)


def render(paths, marks_path, log_paths):
    marks = read_marks(marks_path) if marks_path else []
    changes = sorted((change for path in log_paths for change in read_changes(path)), key=lambda change: change["at"])
    sections = []
    for path in paths:
        lines = [line for line in read_lines(path) if line.strip()]
        if not lines:
            raise InputError(f"{path}: is empty")
        if lines[0].startswith("{"):
            sections.append(load_section(path, read_load_run(path, lines), marks, changes))
        else:
            sections.append(random_section(path, read_random_runs(path, lines)))
    return ('<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>hyssoprock: results</title><style>'
            + STYLE + "</style></head><body><h1>hyssoprock: results</h1>" + "".join(sections) + "</body></html>\n")


def main(arguments):
    parser = argparse.ArgumentParser(prog="tools/report.py", description="Turns results into one HTML page.")
    parser.add_argument("runs", nargs="+", metavar="RUN", help="JSON lines of hyssoprock-load, or output of random_runs")
    parser.add_argument("--marks", metavar="FILE", help='lines "UNIX_MILLISECONDS TEXT"')
    parser.add_argument("--control-log", metavar="FILE", action="append", default=[], help="log of a control host")
    parser.add_argument("--output", metavar="FILE", required=True, help="page to write")
    options = parser.parse_args(arguments)
    try:
        page = render(options.runs, options.marks, options.control_log)
        with open(options.output, "w", encoding="utf-8") as file:
            file.write(page)
    except InputError as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"cannot write {options.output}: {error.strerror}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
