#!/usr/bin/env python3
"""Draws days of trouble for a site of the router fleet's bench.

    draw.py SITE FOLDER [FIRST COUNT]

Reads the site's TOML file and writes days into FOLDER: one for each point that the operators meet (see docs/control.md), one
for each way to name weights on top of each other, and COUNT days of mixed troubles, without and with such namings, drawn from
the numbers FIRST and up. Mixed days pair troubles at one moment, repeat them, and end with a closing fault. The same number draws the same day. Play a day with the bench's `run SITE FILE`.
"""

import random
import sys
from pathlib import Path

import tomllib

# One day for each point: name, plan, faults, closing fault.
POINTS = [
    ("cut-off-lure", ['kind = "version_bump", count = 0, at = 14', 'kind = "config_race", count = 6, gap_s = 4.0, at = 4'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "leader lure race", at = 6', 'kind = "ack_lost", x = 0.7, for_s = 25, at = 3'], None),
    ("cut-off", ['kind = "version_bump", count = 0, at = 14', 'kind = "config_race", count = 6, gap_s = 4.0, at = 4'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "leader race", at = 6', 'kind = "ack_lost", x = 0.7, for_s = 25, at = 3'], None),
    ("cut-off-all", ['kind = "config_race", count = 6, gap_s = 4.0, at = 4'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "all lure meet", at = 6'], 'kind = "wipe_after_ack", down_s = 1.2, how = "oldest"'),
    ("cut-off-near", ['kind = "config_race", count = 6, gap_s = 4.0, at = 4'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "near lure race", at = 6', 'kind = "node_kill", share = 0.2, for_s = 1, at = 12'], None),
    ("cut-off-both", ['kind = "config_race", count = 5, gap_s = 4.0, at = 4'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "both seeds race", at = 6'], 'kind = "kill_all", down_s = 1.2'),
    ("cut-off-one-way", ['kind = "config_race", count = 6, gap_s = 4.0, at = 4'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "leader one_way lure race", at = 6'], None),
    ("one-number", ['kind = "config_race", count = 8, gap_s = 2.0, at = 3', 'kind = "config_race", count = 2, gap_s = 0.3, at = 10'],
     ['kind = "ack_lost", x = 0.9, for_s = 28, at = 2', 'kind = "after_ack_kill", how = "timed", for_s = 2, at = 8',
      'kind = "bad_config", how = "same_version", count = 4, gap_s = 3, at = 6', 'kind = "after_ack_wipe", for_s = 2, at = 18'], 'kind = "power_off_all", down_s = 1.3'),
    ("second-loss", ['kind = "replace_core", how = "planned", x = 1, at = 4', 'kind = "config_race", count = 6, gap_s = 4.0, at = 3',
                     'kind = "replace_core", how = "planned oldest", x = 0.5, at = 17'],
     ['kind = "after_ack_wipe", how = "oldest", for_s = 2, at = 9', 'kind = "after_ack_wipe", how = "oldest", for_s = 2, at = 24'],
     'kind = "wipe_after_ack", down_s = 1.3, how = "oldest timed"'),
    ("second-loss-unplanned", ['kind = "config_race", count = 6, gap_s = 4.0, at = 3'],
     ['kind = "replace_core", x = 1, at = 4', 'kind = "after_ack_wipe", for_s = 1.5, at = 9.5', 'kind = "replace_core", how = "oldest", x = 0.3, at = 17',
      'kind = "after_ack_kill", how = "timed", for_s = 2, at = 23'], 'kind = "wipe_after_ack", down_s = 1.3, how = "timed"'),
    ("many-changes", ['kind = "config_race", count = 30, gap_s = 0.9, at = 1', 'kind = "config_race", count = 30, gap_s = 0.9, at = 1.4',
                      'kind = "big_config", count = 600, at = 8'],
     ['kind = "node_kill", on = "core", count = 1, for_s = 9, how = "power", at = 5', 'kind = "node_kill", on = "core", count = 1, for_s = 0.5, how = "meet", at = 20',
      'kind = "node_kill", share = 0.3, for_s = 6, how = "power", at = 12'], 'kind = "kill_all", down_s = 1.2'),
    ("wrong-caller", ['kind = "release", share = 0.5, x = 1, gap_s = 1.0, at = 3'],
     ['kind = "garble", how = "extra", share = 0.6, x = 0.05, for_s = 8, at = 3', 'kind = "garble", how = "unframed", share = 0.5, x = 0.04, for_s = 8, at = 8',
      'kind = "garble", how = "early", share = 0.6, x = 0.05, for_s = 8, at = 16', 'kind = "answer_lost", how = "reset", share = 0.5, x = 0.05, for_s = 10, at = 6',
      'kind = "reset_conns", share = 0.5, x = 0.5, at = 10', 'kind = "reset_conns", share = 0.5, x = 0.5, at = 20', 'kind = "give_up", share = 0.2, x = 150, for_s = 8, at = 22'], None),
    # The day "cut-off" with two replicas that leave, as they do where they are lured: what is left between the two is the lure.
    ("cut-off-leave", ['kind = "version_bump", count = 0, at = 14', 'kind = "config_race", count = 6, gap_s = 4.0, at = 4',
                       'kind = "scale_in", share = 0.12, at = 8', 'kind = "scale_in", share = 0.12, at = 14.8'],
     ['kind = "core_cut", count = 1, for_s = 20, how = "leader race", at = 6', 'kind = "ack_lost", x = 0.7, for_s = 25, at = 3'], None),
    # Tenants become isolated and are released while replicas crash and fail, so that requests are sent again after the change.
    ("isolated-tenants", [f'kind = "config_change", how = "tenant", at = {at}' for at in (3, 6, 9, 12, 15, 18, 21, 24)],
     ['kind = "srv_crash", share = 0.15, for_s = 3, how = "dark", at = 5.3', 'kind = "srv_crash", share = 0.15, for_s = 3, at = 11.4',
      'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 5, how = "errors", at = 8', 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 5, how = "reset", at = 14.2',
      'kind = "srv_crash", share = 0.15, for_s = 2, how = "gone", at = 17.4', 'kind = "garble", how = "unframed", share = 0.5, x = 0.04, for_s = 6, at = 20.2'], None),
]

# Versions of weights named one on top of the other, before the move to the one before is done: name, times, plan, faults, closing.
OVERLAPS = [
    ("weights-three", (6, 9.45, 12.9), ['kind = "config_race", count = 2, gap_s = 1.6, at = 1.3', 'kind = "hup", share = 1.0, gap_s = 2.0, at = 3.5'], [], None),
    ("weights-eight", (5, 7, 9, 11, 13, 15, 17, 19), [], [], None),
    ("weights-dense", tuple(5 + 0.5 * step for step in range(24)), [], [], 'kind = "kill_all", down_s = 1.2'),
    ("weights-holder-killed", (6, 9, 12, 15), [], ['kind = "node_kill", on = "core", count = 1, for_s = 2, how = "giver", at = 7', 'kind = "node_kill", on = "core", count = 1, for_s = 2, how = "giver", at = 16'], None),
    ("weights-dark", (6, 9, 12), ['kind = "release", share = 0.4, x = 1.0, gap_s = 1.0, at = 8'], ['kind = "srv_crash", share = 0.25, for_s = 6, how = "dark", at = 7'], None),
    ("weights-changes", (5, 8, 11, 14, 17, 20), ['kind = "config_race", count = 40, gap_s = 0.4, at = 4'], ['kind = "ack_lost", x = 0.7, for_s = 12, at = 5'], 'kind = "power_off_all", down_s = 1.2'),
]

CORE_HOWS = ["leader", "leader race", "leader meet drain", "seed race", "race hard", "meet", "turn race", "reader"]
CUT_HOWS = ["", "all", "near", "one_way", "oldest", "seeds", "both", "leader lure race", "all lure", "leader one_way", "near meet", "reset race"]


def mixed(draw):
    """Plan and faults of a mixed day."""
    def at(low=1.0, high=26.0):
        return round(draw.uniform(low, high), 2)

    def last(low=1.0, high=6.0):
        return round(draw.uniform(low, high), 2)

    plan = [
        lambda t: f'kind = "config_race", count = {draw.randint(1, 8)}, gap_s = {draw.uniform(0.3, 2):.2f}, at = {t}',
        lambda t: f'kind = "config_change", how = "{draw.choice(["route", "weights", "timeout", "tenant", "idle"])}", at = {t}',
        lambda t: f'kind = "big_config", count = {draw.choice([100, 400, 1200])}, at = {t}',
        lambda t: f'kind = "bad_config", how = "{draw.choice(["same_version", "old_version", "cut_short", "same_place", "no_weight", "no_timeout", "shared_key", "unknown_service"])}", count = {draw.randint(1, 3)}, gap_s = 1.0, at = {t}',
        lambda t: f'kind = "revoke", count = {draw.randint(1, 3)}, gap_s = 1.2, at = {t}',
        lambda t: f'kind = "version_bump", count = 0, at = {t}',
        lambda t: f'kind = "release", share = {draw.uniform(0.2, 0.6):.2f}, x = 1.0, gap_s = 1.0, at = {t}',
        lambda t: f'kind = "scale_in", share = 0.12, how = "{draw.choice(["", "spot"])}", at = {t}',
        lambda t: f'kind = "roll_term", share = {draw.uniform(0.2, 1.0):.2f}, x = 1.0, gap_s = {draw.uniform(0.7, 2):.2f}, how = "{draw.choice(["", "busy"])}", at = {t}',
        lambda t: f'kind = "roll_term", on = "core", x = 1.0, gap_s = {draw.uniform(3, 6):.2f}, at = {t}',
        lambda t: f'kind = "replace_core", how = "planned{draw.choice(["", " oldest"])}", x = {draw.choice([0.5, 1, 2])}, at = {t}',
        lambda t: f'kind = "hup", share = 0.5, gap_s = 0.5, at = {t}',
        lambda t: f'kind = "seed_turnover", at = {t}',
    ]
    faults = [
        lambda t: f'kind = "core_cut", count = 1, for_s = {draw.choice([3, 5, 9, 20])}, how = "{draw.choice(CUT_HOWS)}", at = {t}',
        lambda t: f'kind = "node_kill", on = "core", count = 1, for_s = {last()}, how = "{draw.choice(["power ", ""])}{draw.choice(CORE_HOWS)}", at = {t}',
        lambda t: f'kind = "node_freeze", on = "core", count = 1, for_s = {last()}, how = "{draw.choice(CORE_HOWS)}", at = {t}',
        lambda t: f'kind = "herd_kill", share = {draw.uniform(0.3, 0.9):.2f}, for_s = {last(0.5, 3)}, how = "{draw.choice(["power", ""])}", at = {t}',
        lambda t: f'kind = "herd_kill", on = "core", how = "power", for_s = 1.0, at = {t}',
        lambda t: f'kind = "replace_core", x = {draw.choice([0.3, 1, 2])}, how = "{draw.choice(["", "oldest"])}", at = {t}',
        lambda t: f'kind = "after_ack_wipe", for_s = {last(1, 3)}, how = "{draw.choice(["", "oldest", "timed"])}", at = {t}',
        lambda t: f'kind = "after_ack_kill", for_s = {last(1, 3)}, how = "{draw.choice(["", "kill", "timed"])}", at = {t}',
        lambda t: f'kind = "disk_full", count = 1, for_s = {last()}, at = {t}',
        lambda t: f'kind = "disk_stall", count = 1, for_s = {last()}, at = {t}',
        lambda t: f'kind = "disk_slow", count = 1, x = 30, for_s = {last()}, at = {t}',
        lambda t: f'kind = "clock_step", x = 2000, share = 0.5, for_s = 5, how = "{draw.choice(["back", "ahead"])}", at = {t}',
        lambda t: f'kind = "ack_lost", x = 0.8, for_s = {last(4, 12)}, at = {t}',
        lambda t: f'kind = "node_cut", share = 0.2, for_s = {last()}, how = "{draw.choice(["", "all", "servers"])}", at = {t}',
        lambda t: f'kind = "srv_cut", share = 0.2, for_s = {last()}, how = "{draw.choice(["", "one_way", "reset"])}", at = {t}',
        lambda t: f'kind = "srv_crash", share = 0.15, for_s = {last()}, how = "{draw.choice(["", "dark", "gone"])}", at = {t}',
        lambda t: f'kind = "reset_conns", share = 0.3, x = 0.5, at = {t}',
        lambda t: f'kind = "garble", how = "{draw.choice(["extra", "unframed", "early"])}", share = 0.5, x = 0.04, for_s = {last(3, 8)}, at = {t}',
        lambda t: f'kind = "answer_lost", how = "{draw.choice(["", "reset"])}", share = 0.5, x = 0.04, for_s = {last(3, 8)}, at = {t}',
        lambda t: f'kind = "give_up", share = 0.2, x = 200, for_s = {last(3, 8)}, at = {t}',
        lambda t: f'kind = "node_slow", share = 0.2, x = 4, for_s = {last()}, at = {t}',
        lambda t: f'kind = "events_gap", share = 0.5, for_s = {last()}, at = {t}',
        lambda t: f'kind = "replace_with_reuse", share = 0.15, how = "{draw.choice(["", "drain", "dark"])}", at = {t}',
    ]
    planned, broken = [], []
    for _ in range(draw.randint(3, 6)):
        moment = at()
        planned.append(draw.choice(plan)(moment))
        broken.append(draw.choice(faults)(moment))
        if draw.random() < 0.4:
            broken.append(draw.choice(faults)(moment))
    closing = draw.choice([None, 'kind = "power_off_all", down_s = 1.2', 'kind = "kill_all", down_s = 1.2',
                           'kind = "wipe_after_ack", down_s = 1.2', 'kind = "wipe_after_ack", down_s = 1.2, how = "oldest"',
                           'kind = "wipe_after_ack", down_s = 1.2, how = "timed"'])
    return planned, broken, closing


def traffic(site):
    """The text of the traffic of the site's first busy day."""
    text = site.read_text()
    day = text[text.index('name = "scale-1"'):]
    begin = day.index("traffic = [")
    return day[begin:day.index("\n]\n", begin) + 3]


def bumps(times):
    """Plan of namings at these times."""
    return [f'kind = "version_bump", count = 0, at = {time}' for time in times]


def overlapping(draw):
    """Plan and faults of a mixed day on which versions are named on top of each other."""
    planned, broken, closing = mixed(draw)
    times = [draw.uniform(3, 8)]
    for _ in range(draw.randint(2, 9)):
        times.append(times[-1] + draw.choice([0.2, 1.0, 2.0, 3.4, 5.0]))
    return planned + bumps(round(time, 2) for time in times if time < 26), broken, closing


def write(folder, name, seed, plan, faults, closing, rows):
    entries = lambda them: "".join(f"  {{ {entry} }},\n" for entry in them)
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "one = 0.57", "zero = 0.22",
             "goal = { floor = 0.15 }", "labels = []"]
    if closing:
        lines.append(f"closing = {{ {closing} }}")
    text = "\n".join(lines) + f"\nplan = [\n{entries(plan)}]\nfaults = [\n{entries(faults)}]\n" + rows
    tomllib.loads(text)
    (folder / f"{name}.toml").write_text(text)


def main():
    if len(sys.argv) not in (3, 5):
        sys.exit(__doc__)
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    first, count = (int(sys.argv[3]), int(sys.argv[4])) if len(sys.argv) == 5 else (0, 0)
    folder.mkdir(parents=True, exist_ok=True)
    rows = traffic(site)
    for number, (name, plan, faults, closing) in enumerate(POINTS):
        write(folder, name, 4_700 + number, plan, faults, closing, rows)
    for number, (name, times, plan, faults, closing) in enumerate(OVERLAPS):
        write(folder, name, 5_700 + number, bumps(times) + plan, faults, closing, rows)
    for number in range(first, first + count):
        write(folder, f"mixed-{number}", 100_000 + number, *mixed(random.Random(number)), rows)
        write(folder, f"overlap-{number}", 200_000 + number, *overlapping(random.Random(number)), rows)


if __name__ == "__main__":
    main()
