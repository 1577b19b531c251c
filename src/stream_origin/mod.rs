//! Which software version began a stream. What two versions write does not fit together, so a stream
//! goes on only at the version that began it. This module is pure: it reads no clock and opens no
//! socket.

mod origin;

pub use origin::StreamOrigin;
