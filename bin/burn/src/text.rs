//! The report as text for a terminal.

use std::fmt::Write as _;
use std::time::Duration;

use crate::report::Report;
use crate::report::Service;
use crate::report::Urgency;
use crate::report::Window;

/// Renders the report.
pub fn render(report: &Report) -> String {
    let objective = &report.objective;
    let mut out = format!(
        "promised to {} requests: {} % answered, {} % within {} ms\n",
        objective.class,
        percent(objective.answered),
        percent(objective.in_time),
        objective.within * 1000.0,
    );
    if !report.missing.is_empty() {
        push_line(&mut out, &format!("not read: {}", report.missing.join(", ")));
    }
    if report.services.is_empty() {
        push_line(&mut out, "no service had a request between the samples");
    }
    for service in &report.services {
        render_service(&mut out, service);
    }
    out
}

fn render_service(out: &mut String, service: &Service) {
    let urgency = match service.urgency {
        Urgency::None => "budget lasts",
        Urgency::Ticket => "TICKET: budget does not last",
        Urgency::Page => "PAGE: budget is being lost now",
    };
    push_line(out, "");
    push_line(out, &format!("{}: {urgency}", service.service));
    push_line(
        out,
        "  window  covered  requests  failed  burn    slow  slow-burn  trials  retries  store  other",
    );
    for window in &service.windows {
        render_window(out, window);
    }
}

fn render_window(out: &mut String, window: &Window) {
    let causes = &window.causes;
    let percentage = |requests: f64| {
        let total = causes.total();
        if total > 0.0 { format!("{:.0} %", 100.0 * requests / total) } else { "-".to_owned() }
    };
    let row = format!(
        "  {:<6}  {:>5.0} %  {:>8.0}  {:>6.0}  {:>4.1}  {:>6.0}  {:>9.1}  {:>6}  {:>7}  {:>5}  {:>5}",
        format_duration(window.seconds),
        100.0 * window.covered,
        window.requests,
        window.failed,
        window.burn,
        window.slow,
        window.slow_burn,
        percentage(causes.trials),
        percentage(causes.retries),
        percentage(causes.store),
        percentage(causes.other),
    );
    push_line(out, &row);
}

/// Formats a duration in the largest unit of which it is a whole multiple.
pub fn format_duration(seconds: f64) -> String {
    let seconds = Duration::from_secs_f64(seconds.max(0.0)).as_secs_f64().round() as u64;
    match seconds {
        0 => "<1s".to_owned(),
        seconds if seconds % 86_400 == 0 => format!("{}d", seconds / 86_400),
        seconds if seconds % 3600 == 0 => format!("{}h", seconds / 3600),
        seconds if seconds % 60 == 0 => format!("{}m", seconds / 60),
        seconds => format!("{seconds}s"),
    }
}

/// Formats a fraction as a percentage without trailing zeros.
fn percent(fraction: f64) -> String {
    let digits = format!("{:.4}", 100.0 * fraction);
    digits.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn push_line(out: &mut String, text: &str) {
    writeln!(out, "{text}").expect("writing to a string can't fail");
}
