//! Keeps a panic from spreading, and states its message.
//!
//! A panic in code that handles one item (an entry of the store, a message of a peer) must not end the task that handles all
//! of them. [`catch_panic`] marks these borders. Unwinding releases borrows and permits; the caller has to remove what the
//! item may have left behind half done.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

use compact_str::CompactString;

/// Returns the message of a panic.
pub fn panic_reason(payload: &(dyn Any + Send)) -> CompactString {
    let text = payload
        .downcast_ref::<&'static str>()
        .copied()
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.map_or_else(
        || CompactString::const_new("panic without a message"),
        CompactString::new,
    )
}

/// Runs a function, and returns the message of the panic if it panics.
///
/// # Examples
///
/// ```
/// use ebonyfork::panic_reason::catch_panic;
///
/// assert_eq!(catch_panic(|| 7), Ok(7));
/// assert_eq!(catch_panic(|| panic!("no room")), Err::<(), _>("no room".into()));
/// ```
pub fn catch_panic<T>(run: impl FnOnce() -> T) -> Result<T, CompactString> {
    catch_unwind(AssertUnwindSafe(run)).map_err(|payload| panic_reason(&*payload))
}
