"""Capacity: the fit of slopes, the forecast of each role's needs, the page's tables, and small measurements."""

import time
import unittest
from pathlib import Path

from tealsail.lab.capacity import causes, incidents, measure, page, sizing, slopes
from tealsail.lab.capacity.fit import Sample, Shape, fit
from tealsail.lab.capacity.points import Activity, Axis, Column, Cost, Point, PointMeasured, Problem, Side
from tealsail.lab.capacity.roles import FleetSize, Role, forecast_role_costs

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs/CAPACITY.md"
RUN = ROOT / "docs/capacity.json"
PLAN = ROOT / "docs/capacity.toml"
SIZES = (10.0, 100.0, 1000.0)
MACHINE = slopes.Machine(8, [3], "a processor", "3.11", "6", 0.0, 0.0, "", "", False)
BASES = {Axis.UNITS: 120.0, Axis.RELAYS: 13.0, Axis.TENANTS: 40.0}


def line(constant: float, growth: float) -> list[Sample]:
    """Samples on a straight line, two equal repeats at each size."""
    return [Sample(x, (constant + growth * x,) * 2) for x in SIZES]


def run(*lines: tuple) -> slopes.Slopes:
    """A run with straight slopes: activity, axis, cost, side, constant and growth of each."""
    points = [
        Point(name, axis, Column.PROCESS, cost, side, x, constant + growth * x)
        for name, axis, cost, side, constant, growth in lines
        for x in SIZES
    ]
    return slopes.Slopes(slopes.VERSION, MACHINE, 1.0, 1, slopes.fit_slopes(points, BASES, {}))


class FitTest(unittest.TestCase):
    def test_fits_a_line_with_its_error(self) -> None:
        curve = fit(line(3.0, 0.02))
        self.assertTrue(curve.straight)
        self.assertAlmostEqual(curve.constant, 3.0, 6)
        self.assertAlmostEqual(curve.growth, 0.02, 9)
        value, error = curve.value_at(500)
        self.assertAlmostEqual(value, 13.0, 6)
        self.assertGreater(error, 0)

    def test_interval_widens_beyond_the_last_point(self) -> None:
        curve = fit(line(3.0, 0.02))
        self.assertGreater(curve.value_at(10_000)[1], 5 * curve.value_at(1000)[1])

    def test_quadratic_growth_is_not_called_a_line(self) -> None:
        curve = fit([Sample(x, (1 + 0.01 * x * x,)) for x in (10, 50, 200, 1000)])
        self.assertEqual((curve.shape, curve.straight), (Shape.SQUARE, False))

    def test_step_that_no_shape_fits_is_not_called_a_line(self) -> None:
        curve = fit([Sample(x, (value,)) for x, value in ((1, 1.0), (10, 10.0), (50, 1.0), (100, 9.0))])
        self.assertFalse(curve.straight)

    def test_where_no_shape_fits_values_are_interpolated_and_extrapolated_from_the_last_two(self) -> None:
        """A line fitted to a step gave half of the value that had been measured at the same size."""
        values = ((100, 1.0), (1000, 2.0), (2000, 3.0), (10_000, 83.0))
        points = [
            Point(Activity.IDLE_SECOND, Axis.UNITS, Column.PROCESS, Cost.PROCESSOR, Side.CONTROL, x, value)
            for x, value in values
        ]
        (slope,) = slopes.fit_slopes(points, BASES, {})
        self.assertFalse(slope.curve.straight)
        for x, value in ((100, 1.0), (10_000, 83.0), (6000, 43.0), (12_000, 103.0)):
            self.assertAlmostEqual(slope.value_at(x)[0], value, 6)

    def test_scatter_of_repeats_widens_the_error(self) -> None:
        steady = fit([Sample(x, (x, x)) for x in SIZES])
        loose = fit([Sample(x, (0.7 * x, 1.3 * x)) for x in SIZES])
        self.assertGreater(loose.growth_error, 5 * steady.growth_error)

    def test_two_sizes_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            fit([Sample(1, (1.0,)), Sample(2, (2.0,))])


class SizingTest(unittest.TestCase):
    def test_cost_of_a_relay_has_beats_changes_and_its_share_of_requests(self) -> None:
        found = run(
            (Activity.IDLE_SECOND, Axis.UNITS, Cost.PROCESSOR, Side.CONTROL, 1.0, 0.01),
            (Activity.IDLE_SECOND, Axis.TENANTS, Cost.PROCESSOR, Side.CONTROL, 2.0, 0.001),
            (Activity.CHANGED_ENTRY, Axis.UNITS, Cost.PROCESSOR, Side.CONTROL, 0.5, 0.001),
            (Activity.REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR, Side.SERVING, 0.0, 1.5),
            (Activity.TRACKED_REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR, Side.BOTH, 0.0, 2.5),
        )
        relay = forecast_role_costs(FleetSize(100, 1000, 10_000.0, 140, 0.5), found)[0]
        self.assertAlmostEqual(relay.total(Cost.PROCESSOR, Side.SERVING)[0], 150.0, 4)
        beats, tenants, changes, messages = 11.0, 0.001 * (140 - 40), 0.5 * 1.5, 100.0
        self.assertAlmostEqual(relay.total(Cost.PROCESSOR, Side.CONTROL)[0], beats + tenants + changes + messages, 4)
        self.assertTrue(
            any(term.is_missing for term in relay.terms)
        )  # bytes were not measured, which does not count as zero

    def test_without_questions_to_a_tracker_requests_cause_no_messages(self) -> None:
        found = run((Activity.TRACKER_SECOND, Axis.MESSAGE_RATE, Cost.PROCESSOR, Side.CONTROL, 0.0, 0.1))
        asked, silent = (
            forecast_role_costs(FleetSize(10, 10, 1000.0, tracker_is_asked=each), found) for each in (True, False)
        )
        self.assertAlmostEqual(asked[2].total(Cost.PROCESSOR)[0], 300.0, 4)
        self.assertTrue(next(term for term in asked[2].terms if term.name == "messages of loads").is_extrapolated)
        self.assertEqual(silent[2].total(Cost.PROCESSOR)[0], 0.0)
        self.assertEqual([each.role for each in silent], list(Role))

    def test_largest_factor_comes_first_and_unmeasured_needs_are_left_out(self) -> None:
        rows = [
            sizing.Need("a", "within", 5.0, 0.0, "ms", 10.0, "", None),
            sizing.Need("b", "twice", 20.0, 0.0, "ms", 10.0, "", None),
            sizing.Need("c", "unknown", None, 0.0, "ms", 10.0, "", None),
            sizing.Need("d", "ten times", 100.0, 0.0, "ms", 10.0, "", None),
        ]
        self.assertEqual([need.role for need in sizing.exceeding(rows)], ["d", "b"])

    def test_a_day_and_a_rollout_change_as_many_entries_as_planned(self) -> None:
        plan = sizing.read_plan(PLAN)
        self.assertAlmostEqual(plan.list_changes_per_second() * 86_400, 4500 * 3 + 73 * 2)
        self.assertAlmostEqual(plan.rollout_changes_per_second(), 4500 * 3 / 1200)

    def test_lost_zone_changes_entries_and_makes_its_units_cold(self) -> None:
        plan = sizing.read_plan(PLAN)
        found = run(
            (Activity.CHANGED_ENTRY, Axis.UNITS, Cost.PROCESSOR, Side.CONTROL, 2.0, 0.001),
            (Activity.CHANGED_ENTRY, Axis.UNITS, Cost.BYTES_IN, Side.CONTROL, 200.0, 0.0),
            (Activity.WHOLE_LIST, Axis.UNITS, Cost.PROCESSOR, Side.CONTROL, 0.0, 0.01),
        )
        zone = incidents.incidents(plan, found)[1]
        self.assertEqual((zone.entries, zone.cold), (3000, 1500))
        self.assertAlmostEqual(zone.one_by_one_ms.value, 3000 * 14.0, 1)
        self.assertAlmostEqual(zone.at_once_ms.value, 14.0 + 2999 * 0.01, 1)
        self.assertAlmostEqual(zone.bytes_to_all.value, 3000 * 200 * 1300, 0)


class PageTest(unittest.TestCase):
    def test_tables_match_the_run_and_the_plan(self) -> None:
        text = PAGE.read_text()
        again = page.fill(text, slopes.read(RUN), sizing.read_plan(PLAN))
        self.assertEqual(text, again, "write it again: tealsail capacity --page=docs/CAPACITY.md")

    def test_page_without_all_sections_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            page.fill("<!-- capacity: run -->\n<!-- end of run -->", slopes.read(RUN), sizing.read_plan(PLAN))

    def test_every_function_named_on_the_page_exists(self) -> None:
        found, plan = slopes.read(RUN), sizing.read_plan(PLAN)
        places = [need.mechanism for need in sizing.needs(plan, found) if need.mechanism]
        places += [state.emptied_by for state in sizing.states(plan, found)]
        self.assertGreater(len(places), 20)
        for place in places:
            self.assertTrue(callable(place.resolve()), str(place))

    def test_every_cause_of_a_slope_is_a_line_of_code(self) -> None:
        for cause in causes.CAUSES.values():
            self.assertGreater(cause.line(), 0)


class MeasurementTest(unittest.TestCase):
    """Small measurements give every point; how large the costs are is not checked, as other work may disturb them."""

    def measured_points(self, *arguments: str) -> list[Point]:
        reports = list(
            measure.run_process([f"tealsail.lab.capacity.{arguments[0]}", *arguments[1:]], time.monotonic() + 60)
        )
        self.assertEqual([line for line in reports if isinstance(line, Problem)], [])
        return [line.point for line in reports if isinstance(line, PointMeasured)]

    def test_cost_of_a_changed_entry_is_measured_on_a_real_relay(self) -> None:
        points = self.measured_points("process_measurements", "60", "1", "1", Axis.LIST_CHANGES)
        found = {(point.cost, point.side): point.value for point in points}
        self.assertGreater(found[Cost.MEMORY, Side.CONTROL], 10)
        self.assertGreater(found[Cost.BYTES_IN, Side.CONTROL], 150)
        self.assertGreater(found[Cost.BYTES_OUT, Side.CONTROL], 50)
        self.assertIn((Cost.PROCESSOR, Side.CONTROL), found)

    def test_facade_is_measured_for_all_activities_along_units(self) -> None:
        points = self.measured_points("facade_measurements", Axis.UNITS, "120")
        names = {
            Activity.STANDING_STATE,
            Activity.IDLE_SECOND,
            Activity.CHANGED_ENTRY,
            Activity.WHOLE_LIST,
            Activity.SETTINGS_CHANGE,
            Activity.REQUEST,
            Activity.TRACKER_MESSAGE,
        }
        self.assertEqual({point.name for point in points}, names)
        self.assertTrue(all(point.value > 0 for point in points))


if __name__ == "__main__":
    unittest.main()
