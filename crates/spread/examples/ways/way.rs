//! The compared ways of distributing configuration.

/// A way of distributing configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Every instance holds a watch on the store.
    WatchEach,
    /// Every instance reads the whole configuration once a second.
    Poll,
    /// One watch in each domain; each instance pulls from a random peer once a second.
    RandomPull,
    /// One watch in each domain; its holder pushes to every instance of the domain.
    Star,
    /// The production decisions: one watch in each domain, a tree of pushes, pulls from the parent.
    Shipped,
}

impl Way {
    /// All ways, the shipped one last.
    pub const ALL: [Way; 5] = [Way::WatchEach, Way::Poll, Way::RandomPull, Way::Star, Way::Shipped];

    /// Returns the text in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Way::WatchEach => "a watch for each instance",
            Way::Poll => "each reads all every 1 s",
            Way::RandomPull => "a watch for each domain, random pulls",
            Way::Star => "a watch for each domain, its holder pushes to all",
            Way::Shipped => "shipped: a watch for each domain, tree of pushes and pulls",
        }
    }
}
