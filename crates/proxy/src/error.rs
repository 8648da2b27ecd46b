//! Why the proxy can't run.

use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Why the proxy can't run, and what to do.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum ProxyError {
        /// The settings name no address to listen at.
        NoAddress(field: &'static str) {
            display("the settings have no {field}: give the address to listen at")
        }
        /// An address can't be listened at.
        Listen(address: SocketAddr, why: std::io::Error) {
            display("can't listen at {address}: {why}: check that the address is this machine's and free")
            source(why)
        }
        /// The runtime or its signals can't be had.
        Runtime(why: std::io::Error) {
            display("can't start the runtime: {why}: check the limit of open files")
            source(why)
        }
    }
}
