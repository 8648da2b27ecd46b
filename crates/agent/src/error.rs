//! Why an agent can't run.

use std::net::SocketAddrV4;

use quick_error::quick_error;

quick_error! {
    /// Why an agent can't run, and what to do.
    #[derive(Debug)]
    pub enum AgentError {
        Listen(address: SocketAddrV4, why: std::io::Error) {
            display("{}: can't listen: {}; end the process that holds the port, or correct inner-ports", address, why)
            source(why)
        }
        Runtime(why: std::io::Error) {
            display("the runtime can't start: {}; raise the limit of open files", why)
            source(why)
        }
    }
}
