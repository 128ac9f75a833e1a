//! The figures as a table for people: one column per run.

use std::fmt::{self, Write};

use compact_str::CompactString;

use crate::experiment::report::{ClassReport, RunReport};

type FigureFunction = fn(&RunReport) -> String;

fn count(number: u64) -> String {
    number.to_string()
}

fn millis(number: f64) -> String {
    format!("{number:.1}")
}

fn share(number: f64) -> String {
    format!("{number:.4}")
}

const FIGURES: &[(&str, FigureFunction)] = &[
    ("load %", |run| format!("{}", run.load_percent)),
    ("queries", |run| count(run.queries)),
    ("answered", |run| count(run.answered)),
    ("thin", |run| count(run.thin)),
    ("refused", |run| count(run.refused)),
    ("failed", |run| count(run.failed)),
    ("p50 ms", |run| millis(run.p50_ms)),
    ("p99 ms", |run| millis(run.p99_ms)),
    ("p99.9 ms", |run| millis(run.p999_ms)),
    ("coverage mean", |run| share(run.coverage_mean)),
    ("thin share", |run| share(run.thin_share)),
    ("extra load", |run| share(run.extra_load)),
    ("goodput /s", |run| millis(run.goodput_per_s)),
    ("connections max", |run| {
        run.connections_max_per_server.to_string()
    }),
    ("connections refused", |run| count(run.connections_refused)),
    ("over slots", |run| count(run.over_slots)),
    ("slots used max", |run| share(run.slots_used_max)),
    ("store calls /s", |run| millis(run.store_calls_per_s)),
    ("VM cores", |run| share(run.vm_cores)),
    ("resent by callers", |run| count(run.resent)),
    ("violations", |run| count(run.violations.total())),
];

const VIOLATIONS: &[(&str, FigureFunction)] = &[
    ("  mixed versions", |run| {
        count(run.violations.mixed_versions)
    }),
    ("  false coverage", |run| {
        count(run.violations.false_coverage)
    }),
    ("  doubled runs", |run| count(run.violations.doubled_runs)),
    ("  not run but ran", |run| {
        count(run.violations.not_run_but_ran)
    }),
    ("  cut requests", |run| count(run.violations.cut_requests)),
    ("  late work to leaving", |run| {
        count(run.violations.late_work_to_leaving)
    }),
    ("  foreign answers", |run| {
        count(run.violations.foreign_answers)
    }),
];

/// Writes the table of some runs, side by side, then one line per class and run.
///
/// # Examples
///
/// ```
/// use ebonyfork_lab::experiment::{RunReport, write_table};
///
/// let mut text = String::new();
/// write_table(&mut text, &[RunReport { queries: 7, ..RunReport::default() }])?;
/// assert!(text.contains("queries"));
/// # Ok::<(), std::fmt::Error>(())
/// ```
pub fn write_table(out: &mut impl Write, runs: &[RunReport]) -> fmt::Result {
    const WIDTH: usize = 12;
    let mut write_row = |name: &str, figure: &dyn Fn(&RunReport) -> String| {
        write!(out, "{name:<24}")?;
        for run in runs {
            write!(out, " {:>WIDTH$}", figure(run))?;
        }
        writeln!(out)
    };
    write_row("", &|run| run.name.to_string())?;
    for (name, figure) in FIGURES.iter().chain(VIOLATIONS) {
        write_row(name, figure)?;
    }
    writeln!(out)?;
    for run in runs {
        for (class, report) in &run.classes {
            write_class(out, &run.name, class, report)?;
        }
    }
    Ok(())
}

fn write_class(
    out: &mut impl Write,
    run: &CompactString,
    class: &CompactString,
    report: &ClassReport,
) -> fmt::Result {
    let ClassReport {
        queries,
        answered,
        thin,
        refused,
        failed,
        ..
    } = report;
    let (p50, p99, p999) = (report.p50_ms, report.p99_ms, report.p999_ms);
    let (coverage, goodput) = (report.coverage_mean, report.goodput_per_s);
    write!(
        out,
        "{run} {class}: {queries} queries, {answered} answered ({thin} thin), {refused} refused, \
         {failed} failed; p50 {p50:.1} p99 {p99:.1} p99.9 {p999:.1} ms; coverage {coverage:.4}; \
         goodput {goodput:.1}/s"
    )?;
    for (code, count) in &report.codes {
        write!(out, "; {code} {count}")?;
    }
    writeln!(out)
}
