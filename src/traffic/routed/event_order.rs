//! The order of a stream's events by their ids, and whether the answer of another upstream follows on
//! the events before it.

use snafu::Snafu;

/// Why the answer of an upstream does not go on after the event that it was asked to go on after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum JoinFault {
    /// Its first event has no id that is a number.
    #[snafu(display("the stream goes on after event {after} with an event without a number"))]
    Unnumbered {
        /// The event that it was to follow.
        after: u64,
    },
    /// Its first event is not later than the one before.
    #[snafu(display(
        "the stream goes on after event {after} with event {first}, which is not later"
    ))]
    NotLater {
        /// The event that it was to follow.
        after: u64,
        /// The first event.
        first: u64,
    },
    /// Events are missing, as the ids have counted up by one before.
    #[snafu(display(
        "the stream goes on after event {after} with event {first}; events are missing"
    ))]
    Skipped {
        /// The event that it was to follow.
        after: u64,
        /// The first event.
        first: u64,
    },
}

/// Follows the ids of a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    last: Option<u64>,
    /// Id of the first event of the current upstream.
    first_of_part: Option<u64>,
    /// True until the first event of an answer that resumes the stream.
    is_joining: bool,
    steps: IdSteps,
    has_unusable_id: bool,
}

/// By how much ids have grown from event to event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum IdSteps {
    /// No two events were seen.
    #[default]
    Unknown,
    /// Always by one.
    ByOne,
    Other,
}

impl EventOrder {
    /// The order of a stream that goes on after an event.
    pub fn after(last: Option<u64>) -> Self {
        EventOrder { last, is_joining: last.is_some(), ..EventOrder::default() }
    }

    /// Expects that the next event is the first one of another upstream.
    pub fn begin_part(&mut self) {
        self.first_of_part = None;
        self.is_joining = self.last.is_some();
    }

    /// Takes the next event into account; `id` is `None` if it has no number. Fails if the event is the
    /// first one of an answer that does not go on after the last event.
    pub fn record(&mut self, id: Option<u64>) -> Result<(), JoinFault> {
        if let (true, Some(after)) = (self.is_joining, self.last) {
            self.check_join(after, id)?;
        }
        self.is_joining = false;
        let Some(id) = id else {
            self.has_unusable_id = true;
            return Ok(());
        };
        if let Some(last) = self.last {
            self.record_step(last, id);
        }
        self.first_of_part = self.first_of_part.or(Some(id));
        self.last = Some(id);
        Ok(())
    }

    /// True if the last event names all events before it, so that another upstream can go on after it.
    pub fn can_resume(&self) -> bool {
        !self.has_unusable_id
    }

    /// Id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Id of the first event since the stream began or was resumed.
    pub fn first_of_part(&self) -> Option<u64> {
        self.first_of_part
    }

    fn check_join(&self, after: u64, id: Option<u64>) -> Result<(), JoinFault> {
        match id {
            None => UnnumberedSnafu { after }.fail(),
            Some(first) if first <= after => NotLaterSnafu { after, first }.fail(),
            Some(first) if self.steps == IdSteps::ByOne && first - after > 1 => {
                SkippedSnafu { after, first }.fail()
            }
            Some(_) => Ok(()),
        }
    }

    fn record_step(&mut self, last: u64, id: u64) {
        self.has_unusable_id |= id <= last;
        self.steps = match self.steps {
            IdSteps::Unknown | IdSteps::ByOne if id.checked_sub(last) == Some(1) => IdSteps::ByOne,
            _ => IdSteps::Other,
        };
    }
}
