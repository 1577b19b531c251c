//! Log fields that describe the size of a request.

use super::dialect::CallerMetadata;
use crate::policy::SizeDecile;
use slog::{KV, Record, Result, Serializer};

/// The known sizes of a request, in tokens, and whether its caller is retrying it.
#[derive(Clone, Copy, Debug)]
pub struct SizeFields {
    tenth: Option<SizeDecile>,
    prompt: Option<u32>,
    output_limit: Option<u32>,
    output_guess: Option<u32>,
    has_returned: bool,
}

impl SizeFields {
    /// Collects the fields from the caller's metadata.
    pub fn new(metadata: &CallerMetadata, tenth: Option<SizeDecile>, has_returned: bool) -> Self {
        SizeFields {
            tenth,
            prompt: metadata.prompt_tokens,
            output_limit: metadata.output_limit,
            output_guess: metadata.output_guess,
            has_returned,
        }
    }
}

/// Prompt tokens that the upstream is expected to hold; no field if prefix reuse is off.
#[derive(Clone, Copy, Debug)]
pub struct KeptTokens(pub Option<u32>);

impl KV for KeptTokens {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        self.0.map_or(Ok(()), |tokens| serializer.emit_u32("kept_tokens", tokens))
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
