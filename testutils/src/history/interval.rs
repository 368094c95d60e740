//! Spans of time, and sets of disjoint spans.

/// A half-open span of time: the start is included, the end is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Interval {
    /// Start, microseconds.
    pub from: u64,
    /// End, microseconds.
    pub to: u64,
}

impl Interval {
    /// Length, microseconds; zero if the end is before the start.
    pub fn length(&self) -> u64 {
        self.to.saturating_sub(self.from)
    }

    /// The overlap of both spans; none if it is empty.
    pub fn intersection(&self, other: &Self) -> Option<Self> {
        let from = self.from.max(other.from);
        let to = self.to.min(other.to);
        (from < to).then_some(Self { from, to })
    }
}

/// A set of times: disjoint spans in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Intervals {
    spans: Vec<Interval>,
}

impl Intervals {
    /// The union of the given spans; overlapping and adjacent ones are merged, empty ones left out.
    pub fn union(spans: impl IntoIterator<Item = Interval>) -> Self {
        let mut sorted: Vec<_> = spans.into_iter().filter(|s| s.length() > 0).collect();
        sorted.sort();
        let mut spans: Vec<Interval> = Vec::new();
        for span in sorted {
            match spans.last_mut() {
                Some(last) if span.from <= last.to => last.to = last.to.max(span.to),
                _ => spans.push(span),
            }
        }
        Self { spans }
    }

    /// The disjoint spans in ascending order.
    pub fn spans(&self) -> &[Interval] {
        &self.spans
    }

    /// The times that are in both sets.
    pub fn intersection(&self, other: &Self) -> Self {
        let mut spans = Vec::new();
        let (mut i, mut j) = (0, 0);
        while i < self.spans.len() && j < other.spans.len() {
            spans.extend(self.spans[i].intersection(&other.spans[j]));
            if self.spans[i].to < other.spans[j].to {
                i += 1;
            } else {
                j += 1;
            }
        }
        Self { spans }
    }

    /// The times of this set that are inside `window`.
    pub fn within(&self, window: Interval) -> Self {
        self.intersection(&Self::union([window]))
    }

    /// Sum of the lengths of all spans, microseconds.
    pub fn length(&self) -> u64 {
        self.spans.iter().map(Interval::length).sum()
    }
}
