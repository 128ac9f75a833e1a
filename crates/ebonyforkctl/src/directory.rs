//! Reads a directory of declarations.

use std::path::Path;

use ebonyfork::declaration::DeclaredFile;
use snafu::ResultExt;

use crate::error::{CtlError, ReadSnafu};

/// Reads every `*.ini` file below a directory, in order of names; hidden entries are left out.
pub fn read_declarations(directory: &Path) -> Result<Vec<DeclaredFile>, CtlError> {
    let mut files = Vec::new();
    read_below(directory, "", &mut files)?;
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

fn read_below(
    directory: &Path,
    prefix: &str,
    files: &mut Vec<DeclaredFile>,
) -> Result<(), CtlError> {
    let entries = std::fs::read_dir(directory).context(ReadSnafu { path: directory })?;
    for entry in entries {
        let entry = entry.context(ReadSnafu { path: directory })?;
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.starts_with('.') {
            continue;
        }
        let name = format!("{prefix}{name}");
        if path.is_dir() {
            read_below(&path, &format!("{name}/"), files)?;
            continue;
        }
        if path.extension().is_none_or(|extension| extension != "ini") {
            continue;
        }
        let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        files.push(DeclaredFile::new(name, text));
    }
    Ok(())
}
