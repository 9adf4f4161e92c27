#!/usr/bin/env python3
"""Plays the standard days of a deployment over several seeds, and compares two such sets of plays.

    yardstick.py play BENCH SITE --seeds 1-3 --out FILE --why TEXT [--days DAY,...] [--jobs N]
    yardstick.py show FILE...
    yardstick.py compare BEFORE AFTER

BENCH is the users' bench, SITE a site file. DAY is the name of a day or a TOML file of one. `play` runs in
the current folder, which must be a checkout of the project, and writes one JSON object to FILE:
{"DAY": {"SEED": {"worth": W, "parts": {PART: VALUE}, "prices": {PRICE: WORTH}, "failed": SHARE, "refused": SHARE,
"classes": {CLASS: {...}}, "breaks": [RULE]}}}. Worth is the bench's own, with processor time left out. `compare` pairs plays of the same day and seed; its interval is Student's,
at 95 in 100. Exit code 1 where a play broke a rule or could not be read.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import subprocess
import sys
import tempfile

# Two-sided 95 % quantiles of Student's distribution by degrees of freedom; beyond the last, the normal one.
STUDENT = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13,
           2.12, 2.11, 2.10, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04]
NORMAL = 1.96
# Longest that one play may take, in seconds; those of grown deployments take up to two minutes.
PLAY_LIMIT = 600


def days_of(site):
    """Names of the standard days of a site file."""
    text = pathlib.Path(site).read_text()
    return re.findall(r'^\[\[day\]\]\nname = "([^"]+)"', text, re.M)


def seeds_of(text):
    """`1-3` or `1,4,7` as numbers."""
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def play(bench, site, day, seed, why):
    """Plays one day and returns its figures."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", report.name, "--why", why]
        run = subprocess.run(command, capture_output=True, text=True, timeout=PLAY_LIMIT)
        text = pathlib.Path(report.name).read_text()
    if not text:
        raise RuntimeError(f"{day} seed {seed}: no report; the bench said: {run.stdout[-400:]}{run.stderr[-400:]}")
    data = json.loads(text)
    return {
        "worth": data["G"],
        "parts": {name: value for name, _, value in data["parts"]},
        "prices": {name: price for name, _, price in data["prices"]},
        "failed": data["failed"],
        "refused": data["refused"],
        "classes": {c["name"]: {k: c[k] for k in ("n", "late", "refused", "failed", "worth")} for c in data["classes"]},
        "breaks": sorted(data["breaks"]) + ([data["fault"]] if data["fault"] else []),
    }


def play_all(args):
    """Plays all days with all seeds, some at a time."""
    days = args.days.split(",") if args.days else days_of(args.site)
    seeds = seeds_of(args.seeds)
    plays = {}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        futures = {(day, seed): pool.submit(play, args.bench, args.site, day, seed, args.why)
                   for day in days for seed in seeds}
        for (day, seed), future in futures.items():
            plays.setdefault(pathlib.Path(day).stem, {})[str(seed)] = future.result()
    pathlib.Path(args.out).write_text(json.dumps(plays, indent=1))
    return plays


def mean(values):
    return sum(values) / len(values)


def interval(values):
    """Mean and half the width of its 95 % interval."""
    centre = mean(values)
    if len(values) < 2:
        return centre, math.inf
    spread = math.sqrt(sum((v - centre) ** 2 for v in values) / (len(values) - 1))
    freedom = len(values) - 1
    quantile = STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL
    return centre, quantile * spread / math.sqrt(len(values))


def show(plays):
    """Prints a row a day, then the mean of the days that are not quiet."""
    print(f"{'day':24} {'worth':>7} {'least':>7} {'most':>7} {'failed':>7} {'refused':>7}  broken")
    for day, seeds in plays.items():
        worth = [p["worth"] for p in seeds.values()]
        failed, refused = (mean([p[key] for p in seeds.values()]) for key in ("failed", "refused"))
        broken = sorted({b for p in seeds.values() for b in p["breaks"]})
        print(f"{day:24} {mean(worth):7.4f} {min(worth):7.4f} {max(worth):7.4f} {failed:7.4f} {refused:7.4f}  {' '.join(broken)}")
    busy = [p["worth"] for day, seeds in plays.items() if not day.startswith("quiet") for p in seeds.values()]
    if busy:
        print(f"{'mean without quiet':24} {mean(busy):7.4f} over {len(busy)} plays")
    return any(p["breaks"] for seeds in plays.values() for p in seeds.values())


def compare(before, after):
    """Prints the paired differences, by day and over all days that are not quiet."""
    print(f"{'day':24} {'before':>8} {'after':>8} {'change':>8} {'+/-':>7} plays")
    rows = {}
    for day in before:
        pairs = [(before[day][s]["worth"], after[day][s]["worth"]) for s in before[day] if s in after.get(day, {})]
        if pairs:
            rows[day] = pairs
    busy = [pair for day, pairs in rows.items() if not day.startswith("quiet") for pair in pairs]
    for name, pairs in [*rows.items(), ("all without quiet", busy)]:
        if not pairs:
            continue
        change, half = interval([b - a for a, b in pairs])
        first, second = mean([a for a, _ in pairs]), mean([b for _, b in pairs])
        print(f"{name:24} {first:8.4f} {second:8.4f} {change:+8.4f} {half:7.4f} {len(pairs):5}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    player = verbs.add_parser("play")
    player.add_argument("bench")
    player.add_argument("site")
    player.add_argument("--seeds", default="1-3")
    player.add_argument("--days", default="")
    player.add_argument("--out", required=True)
    player.add_argument("--why", required=True)
    player.add_argument("--jobs", type=int, default=4)
    shower = verbs.add_parser("show")
    shower.add_argument("files", nargs="+")
    pair = verbs.add_parser("compare")
    pair.add_argument("before")
    pair.add_argument("after")
    args = parser.parse_args()
    if args.verb == "play":
        sys.exit(1 if show(play_all(args)) else 0)
    read = lambda path: json.loads(pathlib.Path(path).read_text())
    if args.verb == "show":
        sys.exit(1 if any([show(read(path)) for path in args.files]) else 0)
    compare(read(args.before), read(args.after))


if __name__ == "__main__":
    main()
