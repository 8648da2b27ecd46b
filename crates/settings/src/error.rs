//! Why settings can't be used.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why settings can't be used, and what to do.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum SettingsError {
        /// The environment names no file.
        NoVariable {
            display("the variable STEPPICK_CONFIG is not set: set it to the path of the settings file")
        }
        /// The file can't be read.
        File(path: PathBuf, why: std::io::Error) {
            display("{}: {}: check the path and its permissions", path.display(), why)
            source(why)
        }
        /// The text is no YAML, or a field has the wrong form.
        Syntax(why: String) {
            display("{}: correct the file at that place", why)
        }
        /// A field makes no sense.
        Field { field: &'static str, value: String, remedy: &'static str } {
            display("field {} is '{}': {}", field, value, remedy)
        }
        /// One of the above, with its file.
        In(path: PathBuf, why: Box<SettingsError>) {
            display("{}: {}", path.display(), why)
            source(why)
        }
    }
}
