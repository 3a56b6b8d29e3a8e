"""The command line's sub-commands."""

import os
import sys

from docopt import DocoptExit, docopt

from .. import __version__

USAGE = """tealsail: a front tier that watches over software updates.

Usage:
  tealsail serve [--log-level=LEVEL] [--document=FILE]
  tealsail check [--document=FILE]
  tealsail version
  tealsail model run SCENARIO [--replicas=N] [--jobs=N] [--seed=N] [--record=FILE] [--json=FILE] [--chart=FILE]
  tealsail model compare A B [--replicas=N] [--jobs=N] [--json=FILE] [--chart=FILE]
  tealsail model check A B [--replicas=N] [--repeats=N] [--at-once=N] [--jobs=N] [--json=FILE] [--chart=FILE]
                           [--keep=DIR]
  tealsail model losses OPTION... [--replicas=N] [--jobs=N] [--json=FILE] [--chart=FILE]
  tealsail model judges [--json=FILE] [--chart=FILE]
  tealsail model even SCENARIO [--replicas=N] [--jobs=N] [--json=FILE]
  tealsail model digests SCENARIO [--replicas=N] [--jobs=N] [--trouble=KIND] [--choosers=LIST]
                         [--json=FILE]
  tealsail model cost [--json=FILE] [--chart=FILE]
  tealsail model fields
  tealsail hunt SCENARIO [--days=N] [--seed=N] [--jobs=N] [--most=LIMITS] [--json=FILE]
  tealsail trial SCENARIO [--seed=N] [--record=FILE] [--json=FILE] [--chart=FILE] [--logs=DIR]
  tealsail capacity [--json=FILE] [--chart=FILE]
  tealsail capacity --page=FILE [--from=FILE] [--plan=FILE]
  tealsail scale SCENARIO [--real=N] [--processes=N] [--slow=X] [--list-every=S] [--seed=N] [--json=FILE]
                          [--from=FILE] [--chart=FILE] [--logs=DIR]
  tealsail record show FILE [--json=FILE]
  tealsail record import CSV FILE [--start=MS]
  tealsail record fit RECORD... [--draws=N] [--json=FILE]
  tealsail (-h | --help)

The relay:
  serve          Run one relay, as EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG tell it.
  check          Read the same configuration, print what would be served, and end.
  version        Print the version.

The fleet model (needs requirements-lab.txt):
  model run      Play a scenario in virtual time, on days of different seeds; figures with their bars.
  model compare  Two scenarios on the same days; the differences, and which is better or can't tell.
  model check    Model both, then play both for real, and say whether each real figure lies in its bar.
                 Exit code 1 if one does not.
  model losses   What the faults of a script cost: each option with its script and without, on the same days; the
                 last option against each of the others.
  model judges   What a judge of 50 to 10,000 relays hears, what that costs and when it votes; and with mad relays.
  model even     How even the load is under plain ways to choose a unit, and under the program, on the same days.
  model digests  Load digests against the asked tracker, no messages and backends seen exactly, on the same days.
  model cost     What the model costs for more relays and more units.
  model fields   Every field of a scenario: type, bounds, default.
  hunt           Random faults over a scenario, in virtual time: days that break a rule or a limit, each shrunk to the
                 fewest lines of script.  Exit code 1 if there is one.
  trial          Play a scenario for real: relay processes on loopback addresses.
  capacity       What one process costs as units, relays, tenants, requests, messages and changes grow, measured on this
                 machine; or, with --page, the tables of docs/CAPACITY.md from such a run.  Exit code 1 if a
                 measurement gave no point.
  scale          Play a scenario with a few real relays beside hollow ones, hundreds to a process: what each role costs,
                 and what the script's faults do.  Exit code 1 if a rule was broken.
  record show    Figures and broken rules of a record.
  record import  A record of arrivals from CSV (columns: at_ms,workload,customer,key).
  record fit     What units are like, from records of one or more days, with the uncertainty of it.

Options:
  --log-level=LEVEL  debug, info, warning or error [default: info].
  --document=FILE    The operator's document, if there is one [default: deploy/tealsail.toml].
  --replicas=N       Days of different seeds; from 39 on bars ask for no shape of spread [default: 10].
  --repeats=N        Real days of each option [default: 1].
  --at-once=N        Real days side by side: each needs a core or more [default: 1].
  --jobs=N           Processes; 0: one a core [default: 0].
  --days=N           Days of a hunt [default: 40].
  --choosers=LIST    Which of them, apart by semicolons [default: all].
  --trouble=KIND     Of digests' messages: none, lost or cut for 8 s, owners stopped for 5 s [default: none].
  --most=LIMITS      What a hunt lets pass: waste, and herd and idle over even draws [default: waste=0.5,herd=3,idle=6].
  --draws=N          Bootstrap draws of a fit [default: 40].
  --seed=N           One day of that seed instead of the scenario's.
  --real=N           Relays of a scale run that are processes of their own [default: 10].
  --processes=N      Processes that hold its hollow relays [default: 4].
  --slow=X           True seconds that one second of it lasts [default: 1].
  --list-every=S     Seconds for which changes of its endpoint list are gathered [default: 0.5].
  --start=MS         Unix time of the record's zero in milliseconds, if not the first line's.
  --record=FILE      Write the record there (.gz: packed).
  --json=FILE        Write the figures there too.
  --chart=FILE       Draw a PNG.
  --page=FILE        Write the tables between the page's markers.
  --from=FILE        The file of a run of capacity, docs/capacity.json if none is named.
  --plan=FILE        The numbers to plan with, docs/capacity.toml if none is named.
  --logs=DIR         Keep the relays' logs there.
  --keep=DIR         Keep the real days there; those that are there already are not played again.
  -h --help          Show this.
"""


def main(arguments: list[str] | None = None) -> int:
    """Returns the exit code: 0, 1 for a day on which something is wrong, 2 for what can't be used."""
    try:
        chosen = docopt(USAGE, argv=arguments)
    except DocoptExit as problem:
        print(problem, file=sys.stderr)
        return 2
    if chosen["version"]:
        print(f"tealsail {__version__}")
        return 0
    if chosen["serve"] or chosen["check"] and not chosen["model"]:
        from . import serve

        return serve.run(chosen, os.environ)
    try:
        if chosen["capacity"]:
            from . import capacity

            return capacity.run(chosen)
        if chosen["scale"]:
            from . import scale

            return scale.run(chosen)
        from . import lab
    except ModuleNotFoundError as missing:
        print(f"tealsail: {missing.name} is not installed: pip install -r requirements-lab.txt", file=sys.stderr)
        return 2
    return lab.run(chosen)
