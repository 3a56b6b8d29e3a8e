"""The entry point: parses the command line and starts a sub-command."""

import os
import sys

from docopt import DocoptExit, docopt

from .. import __version__

USAGE = """tealsail: a front tier of relays that routes requests to units and decides by vote on new builds.

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
  serve          Run one relay, configured by EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG.
  check          Read the same configuration, print a summary of it, and end.
  version        Print the version.

The fleet model (needs requirements-lab.txt):
  model run      Play a scenario in virtual time, on days of different seeds; print figures with error bars.
  model compare  Play two scenarios on the same days; print the differences, and which is better, if that can be told.
  model check    Play both scenarios in virtual time and for real, and compare each real figure with its error bar.
                 Exit code 1 if one is outside.
  model losses   Measure what the faults of a script cost: each option with its script and without, on the same days;
                 the last option is compared with each of the others.
  model judges   Measure what a judge of 50 to 10,000 relays receives, what that costs, and when it votes; also with
                 faulty relays.
  model even     Compare how evenly load is spread by simple ways to choose a unit and by the program, on the same days.
  model digests  Compare load digests with the asked tracker, no messages, and exact knowledge of the backends, on the
                 same days.
  model cost     Measure the CPU time of the model with more relays and more units.
  model fields   List the fields of a scenario: type, bounds, default.
  hunt           Add random faults to a scenario, in virtual time; print days that break a rule or a limit, each
                 reduced to the fewest lines of script.  Exit code 1 if there is one.
  trial          Play a scenario for real: relay processes on loopback addresses.
  capacity       Measure on this machine what one process costs as units, relays, tenants, requests, messages and
                 changes grow.  Exit code 1 if a measurement gave no point.  With --page: write the tables of
                 docs/CAPACITY.md from such a run.
  scale          Play a scenario with a few real relays beside hollow ones, hundreds to a process; print what each role
                 costs, and what the script's faults do.  Exit code 1 if a rule was broken.
  record show    Print the figures and broken rules of a record.
  record import  Make a record of arrivals from CSV (columns: at_ms,workload,customer,key).
  record fit     Fit the behaviour of units, with its uncertainty, from records of one or more days.

Options:
  --log-level=LEVEL  debug, info, warning or error [default: info].
  --document=FILE    The operator's document; the file may be absent [default: deploy/tealsail.toml].
  --replicas=N       Days of different seeds; with 39 or more, error bars assume no distribution [default: 10].
  --repeats=N        Real days of each option [default: 1].
  --at-once=N        Real days that run at the same time; each needs a core or more [default: 1].
  --jobs=N           Processes; 0: one for each core [default: 0].
  --days=N           Days of a hunt [default: 40].
  --choosers=LIST    Ways to choose a unit, separated by semicolons [default: all].
  --trouble=KIND     Trouble with digests' messages: none, lost or cut for 8 s, or owners stopped for 5 s (none, lost,
                     cut, stopped) [default: none].
  --most=LIMITS      Limits of a hunt: waste, and herd and idle beyond those of even draws
                     [default: waste=0.5,herd=3,idle=6].
  --draws=N          Bootstrap draws of a fit [default: 40].
  --seed=N           Play one day, with this seed instead of the scenario's.
  --real=N           Relays of a scale run that are processes of their own [default: 10].
  --processes=N      Processes for the hollow relays of a scale run [default: 4].
  --slow=X           Seconds of real time for each second of a scale run [default: 1].
  --list-every=S     Seconds over which a scale run collects changes of its list of backends [default: 0.5].
  --start=MS         Unix time of the record's zero in milliseconds; without it, the time of the first line.
  --record=FILE      Write the record to this file (.gz: compressed).
  --json=FILE        Also write the figures to this file.
  --chart=FILE       Draw a PNG.
  --page=FILE        Write the tables between the markers of this page.
  --from=FILE        The file of a capacity run; without it, docs/capacity.json.
  --plan=FILE        The numbers to plan with; without it, docs/capacity.toml.
  --logs=DIR         Keep the relays' logs in this directory.
  --keep=DIR         Keep the real days in this directory; those already there are not played again.
  -h --help          Show this help.
"""


def main(argv: list[str] | None = None) -> int:
    """Runs the command line `argv`, or that of the process, and returns the exit code.

    0: success; 1: the run showed something wrong, as the help of its sub-command says; 2: an input that can't be used.
    """
    try:
        arguments = docopt(USAGE, argv=argv)
    except DocoptExit as problem:
        print(problem, file=sys.stderr)
        return 2
    if arguments["version"]:
        print(f"tealsail {__version__}")
        return 0
    if arguments["serve"] or arguments["check"] and not arguments["model"]:
        from . import serve

        return serve.run(arguments, os.environ)
    try:
        if arguments["capacity"]:
            from . import capacity

            return capacity.run(arguments)
        if arguments["scale"]:
            from . import scale

            return scale.run(arguments)
        from . import lab
    except ModuleNotFoundError as missing:
        print(f"tealsail: {missing.name} is not installed: pip install -r requirements-lab.txt", file=sys.stderr)
        return 2
    return lab.run(arguments)
