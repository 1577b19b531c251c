//! A request's size, as fields of log lines.

use super::dialect::CallerFacts;
use crate::policy::SizeDecile;
use slog::{KV, Record, Result, Serializer};

/// What is known of a request's size, in tokens, and whether its caller has been here before.
#[derive(Clone, Copy, Debug)]
pub struct SizeFields {
    tenth: Option<SizeDecile>,
    prompt: Option<u32>,
    output_limit: Option<u32>,
    output_guess: Option<u32>,
    has_returned: bool,
}

impl SizeFields {
    /// The fields of a request whose caller says `facts`.
    pub fn new(facts: &CallerFacts, tenth: Option<SizeDecile>, has_returned: bool) -> Self {
        SizeFields {
            tenth,
            prompt: facts.prompt_tokens,
            output_limit: facts.output_limit,
            output_guess: facts.output_guess,
            has_returned,
        }
    }
}

impl KV for SizeFields {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        let mut emit = |name: &'static str, number: Option<u32>| match number {
            Some(number) => serializer.emit_u32(name, number),
            None => Ok(()),
        };
        emit("size_tenth", self.tenth.map(|tenth| u32::from(tenth.number())))?;
        emit("prompt", self.prompt)?;
        emit("output_limit", self.output_limit)?;
        emit("output_guess", self.output_guess)?;
        serializer.emit_bool("returned", self.has_returned)
    }
}
