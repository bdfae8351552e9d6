//! Responses of operators and how they are rendered.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Resource;
use cowslipchute_resource::Spec;
use serde::Deserialize;
use serde_json::Value;

use crate::output::Format;
use crate::output::Table;

/// A resource as returned by an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct View {
    /// The revision of its last change.
    pub revision: Revision,
    /// The source of the data: `store`, or `in-force` while the store is down.
    pub source: String,
    /// The resource.
    pub resource: Resource,
}

/// A list of resources as returned by an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct List {
    /// The source of the data, as in [`View::source`].
    pub source: String,
    /// The resources in ascending order of name.
    pub items: Vec<View>,
}

/// An instance on which a revision is not yet in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Lagging {
    /// The name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision in force there; `None` when the instance did not answer.
    pub revision: Option<Revision>,
}

/// The propagation status of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Status {
    /// The revision.
    pub revision: Revision,
    /// The number of instances that follow the configuration.
    pub instances: usize,
    /// The number of those instances where the revision is in force.
    pub in_force: usize,
    /// The instances where it is not in force.
    pub lagging: Vec<Lagging>,
}

/// Warning printed with data that was read while the store is down.
pub const STALE_WARNING: &str =
    "The store can't be reached: the configuration in force is shown and may be stale.";

/// Deserializes a response; returns `None` if it has another form.
pub fn parse<T: for<'de> Deserialize<'de>>(answer: &Value) -> Option<T> {
    T::deserialize(answer).ok()
}

/// Renders one resource.
pub fn view(view: &View, answer: &Value, format: Format) -> String {
    match format {
        Format::Json => json(answer),
        Format::Quiet => format!("{}\n", view.revision),
        Format::Table => {
            let mut table = Table::new(["field", "value"]);
            table.row(vec![String::from("revision"), view.revision.to_string()]);
            if let Some(Value::Object(fields)) = answer.get("resource") {
                for (field, value) in fields {
                    table.row(vec![field.clone(), unquoted(value)]);
                }
            }
            table.render()
        }
    }
}

/// Renders a list of resources.
pub fn list(list: &List, answer: &Value, format: Format) -> String {
    match format {
        Format::Json => json(answer),
        Format::Quiet => {
            list.items.iter().map(|view| format!("{}\n", view.resource.name)).collect()
        }
        Format::Table => {
            let Some(first) = list.items.first() else { return String::from("none\n") };
            let spec_columns = columns(&first.resource.spec);
            let headings =
                ["name", "revision"].into_iter().chain(spec_columns.iter().map(|c| c.heading));
            let mut table = Table::new(headings);
            for view in &list.items {
                let mut row = vec![view.resource.name.to_string(), view.revision.to_string()];
                row.extend(columns(&view.resource.spec).into_iter().map(|column| column.text));
                table.row(row);
            }
            table.render()
        }
    }
}

/// Renders the propagation status of a revision.
pub fn status(status: &Status, answer: &Value, format: Format) -> String {
    match format {
        Format::Json => json(answer),
        Format::Quiet => format!("{}/{}\n", status.in_force, status.instances),
        Format::Table => {
            let mut out = format!(
                "revision {} is in force on {}/{} instances\n",
                status.revision, status.in_force, status.instances
            );
            if !status.lagging.is_empty() {
                let mut table = Table::new(["lagging", "domain", "revision"]);
                for lagging in &status.lagging {
                    let none = || String::from("no answer");
                    let revision =
                        lagging.revision.map_or_else(none, |revision| revision.to_string());
                    table.row(vec![lagging.instance.clone(), lagging.domain.clone(), revision]);
                }
                out.push_str(&table.render());
            }
            out
        }
    }
}

/// Renders events. Time and name have columns of their own; all other fields are shown as details.
pub fn events(answer: &Value, format: Format) -> String {
    let none = Vec::new();
    let events = answer.get("events").and_then(Value::as_array).unwrap_or(&none);
    match format {
        Format::Json => json(answer),
        Format::Quiet => events.iter().map(|event| format!("{event}\n")).collect(),
        Format::Table => {
            let mut table = Table::new(["time", "event", "details"]);
            for event in events {
                table.row(event_row(event));
            }
            let mut out = table.render();
            let unreachable = answer.get("unreachable").and_then(Value::as_array).unwrap_or(&none);
            for placer in unreachable {
                out.push_str(&format!("no answer from {}\n", unquoted(placer)));
            }
            out
        }
    }
}

fn event_row(event: &Value) -> Vec<String> {
    let field = |name: &str| event.get(name).map(unquoted);
    let mut details = Vec::new();
    if let Value::Object(fields) = event {
        let with_own_column = ["time", "at_millis", "event", "name"];
        let rest = fields.iter().filter(|(name, _)| !with_own_column.contains(&name.as_str()));
        details.extend(rest.map(|(name, value)| format!("{name}={}", unquoted(value))));
    }
    let event = field("name").or_else(|| field("event")).unwrap_or_default();
    // A placer that reports no time of day reports the time since its start.
    let since_start = || field("at_millis").map(|millis| format!("+{millis} ms"));
    let time = field("time").or_else(since_start).unwrap_or_default();
    vec![time, event, details.join(" ")]
}

/// Renders a response as JSON for programs.
pub fn json(answer: &Value) -> String {
    let text = serde_json::to_string_pretty(answer).expect("a JSON value can be serialized");
    format!("{text}\n")
}

fn unquoted(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::from("-"),
        other => other.to_string(),
    }
}

struct Column {
    heading: &'static str,
    text: String,
}

fn column(heading: &'static str, text: impl ToString) -> Column {
    Column { heading, text: text.to_string() }
}

/// Returns the columns that a list shows for a resource's kind.
fn columns(spec: &Spec) -> Vec<Column> {
    match spec {
        Spec::Service(spec) => vec![
            column("class", spec.class.as_str()),
            column("backends of", spec.backends_of.as_deref().unwrap_or("-")),
            column("deadline", format!("{} ms", spec.deadline.as_millis())),
            column("queue", spec.queue),
        ],
        Spec::Job(spec) => vec![
            column("team", &spec.team),
            column("class", spec.class.as_str()),
            column("tasks", spec.tasks),
            column("each", amount(spec.amount)),
            column("urgent", spec.urgent),
            column("cancelled", spec.cancelled),
        ],
        Spec::Team(spec) => {
            vec![column("quota", amount(spec.quota)), column("domains", spec.shares.len())]
        }
        Spec::Policy(spec) => vec![
            column("latency", spec.latency_weight),
            column("eviction", spec.eviction_weight),
            column("throughput", spec.throughput_weight),
            column("guard", spec.guard),
        ],
    }
}

fn amount(amount: Amount) -> String {
    let Amount { cpu_milli, memory_mib, accelerators } = amount;
    format!("{cpu_milli}m cpu, {memory_mib} MiB, {accelerators} acc")
}
