#!/usr/bin/env python3
"""Says where each day of a deployment lost its worth, from the bench's site file and reports.

Usage: scripts/account.py SITE.toml DAY=REPORT.json[@SECONDS] ...

SECONDS is the time from the closing fault to the first event 100 in the logs of the day, when the first process runs
again. Without it, the time for which the site file says that the machines are down counts.

Prints a Markdown table with one row for each day. The columns from "prices" to "rest" add up to 1 - worth:

- prices: all prices together.
- dark: credit that no system could earn, because nothing had power or no process ran in the closing fault. A request
  that was sent then and whose deadline passed before the end of that time earns nothing; one that outlived it earns its
  credit for a late answer at most, and one whose latency objective outlived it its whole credit.
- return: the rest of the credit lost from the closing fault until 10 s after it.
- faults: credit lost from each other unplanned disruption until 2 s after its end.
- rest: all other credit lost.

The credit lost in the whole day, the worst windows, the worst class, the worst zone and the nines (the share of requests
that were served at all, on a log scale) is weighted as the site's goal says. The loss of the nines is divided among the
windows in proportion to their unserved requests. Credit is known for windows of two seconds, so a window that two columns
could claim goes to the first of them.
"limit" is 1 - prices - dark, the most that any system could earn at these prices; "share" is the part of it that was
earned. Reports whose parts and prices do not add up to their worth are refused.
"""

import json
import sys
import tomllib

WINDOW_S = 2.0
RETURN_S = 10.0
FAULT_TAIL_S = 2.0
WORST_WINDOWS = 2
TOLERANCE = 0.002  # the parts of a report are rounded to four digits


def weights(goal):
    """The weight of each part of the credit, by the name that reports use."""
    names = {"mean": "whole day", "window": "worst windows", "class": "worst class", "zone": "worst zone",
             "nines": "nines"}
    return {name: goal.get(key, 0.0) for key, name in names.items()}


def closing_fault(report, day, down_s):
    """Start and end of the time without power or processes; None without a closing fault."""
    for event in report["events"]:
        if event["kind"].startswith("closing"):
            return event["at_s"], event["at_s"] + (day["closing"]["down_s"] if down_s is None else down_s)
    return None


def servable(wait_s, request_class):
    """1.0 when an answer after `wait_s` is in time, else 0.0."""
    return 1.0 if wait_s * 1000 <= request_class["deadline_ms"] else 0.0


def earnable(wait_s, request_class):
    """Share of a request's credit that an answer after `wait_s` earns at most."""
    if wait_s * 1000 <= request_class["aim_ms"]:
        return 1.0
    if wait_s * 1000 <= request_class["deadline_ms"]:
        return request_class["late_worth"] / request_class["worth"]
    return 0.0


def dark_share(window_start, dark, classes, mix, attainable=earnable):
    """Share of the credit owed in a window that cannot be earned, or with `servable` of the requests that cannot be
    served."""
    if dark is None:
        return 0.0
    steps = 200
    lost = total = 0.0
    for i in range(steps):
        sent = window_start + WINDOW_S * (i + 0.5) / steps
        for request_class in classes:
            owed = mix[request_class["name"]] * (1 if attainable is servable else request_class["worth"])
            total += owed
            if dark[0] <= sent < dark[1]:
                lost += owed * (1 - attainable(dark[1] - sent, request_class))
    return lost / total if total else 0.0


def claims(report, closing):
    """The column that claims each window, by the window's position."""
    faults = [event for event in report["events"] if not event["planned"] and not event["kind"].startswith("closing")]
    columns = []
    for window in report["windows"]:
        start = float(window["name"])
        end = start + WINDOW_S
        if closing and end > closing[0] and start < closing[1] + RETURN_S:
            columns.append("return")
        elif any(end > fault["at_s"] and start < fault["to_s"] + FAULT_TAIL_S for fault in faults):
            columns.append("faults")
        else:
            columns.append("rest")
    return columns


def account(site, name, report, down_s):
    """The row of one day: its worth and the parts of 1 - worth."""
    day = next(day for day in site["day"] if day["name"] == name)
    closing = closing_fault(report, day, down_s) if "closing" in day else None
    part_weights = weights(site["goal"])
    parts = {part: value for part, _, value in report["parts"]}
    prices = sum(price for _, _, price in report["prices"])
    counted = sum(part_weights.get(part, 0.0) * value for part, value in parts.items())
    if abs(counted - prices - report["G"]) > TOLERANCE:
        raise SystemExit(f"{name}: parts less prices are {counted - prices:.4f}, but the worth is {report['G']:.4f}")

    mix = {c["name"]: c["n"] for c in report["classes"]}
    total = sum(window["n"] for window in report["windows"]) or 1
    row = {"dark": 0.0, "return": 0.0, "faults": 0.0, "rest": 0.0}
    windows = []
    unserved = []
    for window, column in zip(report["windows"], claims(report, closing)):
        lost = 1 - window["worth"]
        dark = min(lost, dark_share(float(window["name"]), closing, site["classes"], mix))
        windows.append((lost, dark, column, window["n"] / total))
        failed = (window["failed"] + window["refused"]) / window["n"] if window["n"] else 0.0
        dark = min(failed, dark_share(float(window["name"]), closing, site["classes"], mix, servable))
        unserved.append((failed, dark, column, window["n"] / total))
    worst = sorted(windows, reverse=True)[:WORST_WINDOWS]

    def distribute(weight, part, chosen):
        """Adds the credit that `part` lost to the columns, in proportion to what the chosen windows lost."""
        lost = weight * (1 - parts.get(part, 1.0))
        weighed = sum(window_lost * share for window_lost, _, _, share in chosen)
        for window_lost, dark, column, share in chosen:
            if weighed > 0:
                row["dark"] += lost * dark * share / weighed
                row[column] += lost * (window_lost - dark) * share / weighed
        if weighed == 0:
            row["rest"] += lost

    distribute(part_weights["whole day"], "whole day", windows)
    distribute(part_weights["worst windows"], "worst windows", [(a, b, c, 1.0) for a, b, c, _ in worst])
    distribute(part_weights["worst class"], "worst class", windows)
    distribute(part_weights["worst zone"], "worst zone", windows)
    distribute(part_weights["nines"], "nines", unserved)
    row["prices"] = prices
    row["worth"] = report["G"]
    row["limit"] = 1 - prices - row["dark"]
    row["share"] = row["worth"] / row["limit"]
    return row


def main(arguments):
    if len(arguments) < 2 or any("=" not in argument for argument in arguments[1:]):
        raise SystemExit(__doc__)
    with open(arguments[0], "rb") as file:
        site = tomllib.load(file)
    columns = ["worth", "prices", "dark", "return", "faults", "rest", "limit", "share"]
    print("| day | " + " | ".join(columns) + " |")
    print("|---" * (len(columns) + 1) + "|")
    for argument in arguments[1:]:
        name, path = argument.split("=", 1)
        path, _, down_s = path.partition("@")
        with open(path, encoding="utf-8") as file:
            row = account(site, name, json.load(file), float(down_s) if down_s else None)
        print(f"| {name} | " + " | ".join(f"{row[column]:.4f}" for column in columns) + " |")


if __name__ == "__main__":
    main(sys.argv[1:])
