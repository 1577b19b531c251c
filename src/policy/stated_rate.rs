//! Rates that upstreams state: the requests per second that one takes from all daemons together.

/// What an answer says of the rate at which its upstream takes requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// No limit is stated.
    Unlimited,
    /// At most this many requests per second from all daemons together; finite and not negative.
    Limited(f64),
}
