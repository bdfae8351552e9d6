//! Sets of task indices whose size depends on the number of gaps and not of tasks.

use std::collections::BTreeMap;

use cowslipchute_base::id::TaskIndex;

use crate::record::Span;

/// A set of task indices, stored as disjoint, non-adjacent spans.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spans {
    /// The end of each span by its start.
    ends: BTreeMap<TaskIndex, TaskIndex>,
    len: u32,
}

impl Spans {
    /// Returns the number of indices.
    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    pub(crate) fn contains(&self, index: TaskIndex) -> bool {
        self.ends.range(..=index).next_back().is_some_and(|(_, &end)| index < end)
    }

    /// Adds an index if it is not in the set yet.
    pub(crate) fn insert(&mut self, index: TaskIndex) {
        if self.contains(index) {
            return;
        }
        self.len += 1;
        let before = self.ends.range(..=index).next_back().map(|(&start, &end)| (start, end));
        let start = match before {
            Some((start, end)) if end == index => start,
            _ => index,
        };
        let end = self.ends.remove(&(index + 1)).unwrap_or(index + 1);
        self.ends.insert(start, end);
    }

    /// Adds a span that is disjoint from the set; the cost doesn't depend on its length.
    pub(crate) fn insert_span(&mut self, span: Span) {
        if span.start >= span.end {
            return;
        }
        debug_assert!(!self.contains(span.start), "the span must be disjoint from the set");
        self.len += span.end - span.start;
        let before = self.ends.range(..=span.start).next_back().map(|(&start, &end)| (start, end));
        let start = match before {
            Some((start, end)) if end == span.start => start,
            _ => span.start,
        };
        let end = self.ends.remove(&span.end).unwrap_or(span.end);
        self.ends.insert(start, end);
    }

    /// Iterates over the spans in ascending order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Span> + '_ {
        self.ends.iter().map(|(&start, &end)| Span { start, end })
    }

    /// Returns the number of spans.
    pub(crate) fn span_count(&self) -> usize {
        self.ends.len()
    }

    /// Returns the start of the first span at or after `index`, or the maximum index if there is
    /// none.
    pub(crate) fn next(&self, index: TaskIndex) -> TaskIndex {
        self.ends.range(index..).next().map_or(TaskIndex::MAX, |(&start, _)| start)
    }

    /// Returns the first index at or after `index` that is not in the set.
    pub(crate) fn skip(&self, index: TaskIndex) -> TaskIndex {
        match self.ends.range(..=index).next_back() {
            Some((_, &end)) if index < end => end,
            _ => index,
        }
    }
}

impl FromIterator<Span> for Spans {
    fn from_iter<I: IntoIterator<Item = Span>>(spans: I) -> Spans {
        let mut set = Spans::default();
        for span in spans {
            set.insert_span(span);
        }
        set
    }
}
