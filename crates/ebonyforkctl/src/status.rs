//! Exit statuses.

use std::process::ExitCode;

/// How a command ended, as scripts see it.
///
/// # Examples
///
/// ```
/// use ebonyforkctl::status::ExitStatus;
///
/// assert_eq!(ExitStatus::Conflict.code(), 4);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done; for `apply` and `status`: accepted.
    Done,
    /// The command could not be carried out: nothing can be said.
    Failed,
    /// The declarations have findings; nothing was sent.
    Findings,
    /// Published, but not every zone has shown it in time.
    NotEverywhere,
    /// Somebody else published first; nothing was changed.
    Conflict,
    /// Provably not published.
    NotPublished,
    /// It can't be told whether it was published.
    Unknown,
    /// Published, but an earlier revision was put in force again over it.
    Overridden,
    /// The arguments are wrong.
    Usage,
}

impl ExitStatus {
    /// All of them with the words of the help.
    pub const ALL: [(Self, &'static str); 9] = [
        (
            Self::Done,
            "done; `apply`, `status`: accepted, every zone has shown it",
        ),
        (
            Self::Failed,
            "could not be carried out, e.g. the store or a VM doesn't answer",
        ),
        (
            Self::Findings,
            "the declarations have findings; nothing was sent",
        ),
        (
            Self::NotEverywhere,
            "published, but not every zone has shown it yet",
        ),
        (
            Self::Conflict,
            "somebody else published first; nothing was changed",
        ),
        (Self::NotPublished, "provably not published"),
        (
            Self::Unknown,
            "can't be told whether it was published; see `history`",
        ),
        (
            Self::Overridden,
            "published, but the tier has put an earlier revision in force again",
        ),
        (Self::Usage, "wrong arguments"),
    ];

    /// The number that the process ends with.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Findings => 2,
            Self::NotEverywhere => 3,
            Self::Conflict => 4,
            Self::NotPublished => 5,
            Self::Unknown => 6,
            Self::Overridden => 7,
            Self::Usage => 64,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
