//! Limits of message sizes. The protocol counts sizes in JSON form, whatever form is sent.

use serde::Serialize;

/// Largest body of a request, and of a response to a worker or a user, in bytes of its JSON
/// form.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Upper bound of a heartbeat without its tasks, in bytes of its JSON form.
const MAX_HEARTBEAT_HEADER_BYTES: usize = 1024;

/// Upper bound of one task in a heartbeat, in bytes of its JSON form and of the comma after it:
/// with the longest name, the highest attempt number, and the longest state and exit cause.
const MAX_TASK_REPORT_BYTES: usize = 120;

/// Most tasks that a worker may hold, running and exited: with more of them its heartbeat might
/// exceed [`MAX_BODY_BYTES`], and no controller would accept it.
pub const MAX_TASKS_PER_WORKER: u32 =
    ((MAX_BODY_BYTES - MAX_HEARTBEAT_HEADER_BYTES) / MAX_TASK_REPORT_BYTES) as u32;

/// Size of a message in JSON form, in bytes.
pub fn json_bytes<T: Serialize>(message: &T) -> usize {
    let mut counter = ByteCounter(0);
    // Every type of this package has text keys and no fallible serializer, and the counter
    // accepts all bytes.
    let _ = serde_json::to_writer(&mut counter, message);
    counter.0
}

/// Counts the bytes written to it.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
