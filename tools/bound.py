#!/usr/bin/env python3
"""What a day with a final fault can be worth at most, by simulated days in which nothing else fails.

    bound.py --pace MS [--first MS] [--days N] [--seed S]

Shapes are those of the users' page on the Milan deployment: rates, lengths and worth of its four kinds of requests, a
final fault 34 s after traffic begins that ends every running stream, machines back after 1.5 s. PACE is the time of
one token in milliseconds, FIRST the time to the first event. Prices and the share of requests that fail at every server are
as measured on the quiet day. Assumed besides: no stream is lost or late otherwise; requests that arrive while all machines are down
fail where their time is shorter, and are late else.
"""

import argparse
import math
import random

# Requests a second: streams, tags, and plain requests of two kinds.
RATES = {"stream": 6.91, "tags": 9.69, "thumb": 31.2, "position": 12.5}
WORTH = {"stream": 130.0, "tags": 14.0, "thumb": 1.0, "position": 1.0}
# Streams: events of four tokens, lognormal with this mean and coefficient of variation, cut off at the longest.
EVENTS, EVENTS_SPREAD, MOST_EVENTS, EVENT_TOKENS = 234.0, 0.84, 554.0, 4
PROMPT, PROMPT_SPREAD, MOST_PROMPT = 3079.0, 0.35, 6000.0
# Seconds: the final fault, machines away, end of traffic.
FAULT, AWAY, END = 34.0, 1.5, 51.0
# Share of `position` requests that fail at every server, measured; prices of a day, measured.
ALWAYS_FAIL, PRICES = 0.065, 0.052
WINDOW = 2.0


def lognormal(rng, mean, spread, most):
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(most, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


def arrivals(rng, rate):
    at = 0.0
    while (at := at + rng.expovariate(rate)) < END:
        yield at


def day(rng, pace, first):
    """One day's worth as the bench weighs it."""
    windows, owed, earned, asked, failed = {}, {}, {}, 0, 0
    for kind, rate in RATES.items():
        for at in arrivals(rng, rate):
            worth, share = WORTH[kind], 1.0
            down = FAULT <= at < FAULT + AWAY
            if kind == "stream":
                events = lognormal(rng, EVENTS, EVENTS_SPREAD, MOST_EVENTS)
                prompt = lognormal(rng, PROMPT, PROMPT_SPREAD, MOST_PROMPT)
                mean_size = PROMPT + 10 * EVENTS * EVENT_TOKENS
                worth *= min(4.0, 0.3 + 0.7 * (prompt + 10 * events * EVENT_TOKENS) / mean_size)
                ends = at + first + events * EVENT_TOKENS * pace
                share = 0.0 if at < FAULT < ends else 20 / 130 if down else 1.0
            elif kind == "tags":
                share = 0.15 if down else 0.0 if at < FAULT < at + first else 1.0
            else:
                share = 0.0 if down and at < FAULT + AWAY - 1.0 else 0.3 if down else 1.0
                if kind == "position" and rng.random() < ALWAYS_FAIL:
                    share = 0.0
            asked += 1
            failed += share == 0.0
            for sums, value in ((owed, worth), (earned, worth * share)):
                sums[kind] = sums.get(kind, 0.0) + value
            window = windows.setdefault(int(at // WINDOW), [0.0, 0.0])
            window[0] += worth * share
            window[1] += worth
    whole = sum(earned.values()) / sum(owed.values())
    worst = sorted(e / o for e, o in windows.values())[:2]
    classes = min(earned[k] / owed[k] for k in RATES)
    nines = min(1.0, -math.log10(max(failed / asked, 0.001)) / 3)
    return 0.4 * whole + 0.15 * sum(worst) / 2 + 0.1 * classes + 0.35 * nines - PRICES


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--pace", type=float, required=True)
    parser.add_argument("--first", type=float, default=440.0)
    parser.add_argument("--days", type=int, default=400)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rng = random.Random(args.seed)
    worths = [day(rng, args.pace / 1000, args.first / 1000) for _ in range(args.days)]
    mean = sum(worths) / len(worths)
    spread = math.sqrt(sum((w - mean) ** 2 for w in worths) / (len(worths) - 1))
    print(f"pace {args.pace} ms: worth {mean:.4f} +/- {1.96 * spread / math.sqrt(len(worths)):.4f}, one day's spread {spread:.3f}")


if __name__ == "__main__":
    main()
