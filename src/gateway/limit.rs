//! Servers in need: such a server names, in its answers, the requests a second that it takes from all daemons
//! together, for as long as it says so.

/// What an answer says of its server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitWord {
    /// It names none.
    Free,
    /// Requests a second from all daemons together: zero or more, and finite.
    Rate(f64),
    /// What it names is no such number, which changes nothing.
    Unclear,
}
