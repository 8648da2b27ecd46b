//! Will hold what the manifest says.
