//! Calls of replicas and operators.

use controller::command::{decode, Call, Command, Reply};
use controller::machine::{CallId, Input};

use super::{CallHandle, Cluster};

impl Cluster {
    /// Issues a call; what the decoder refuses is answered at once.
    pub fn issue(
        &mut self,
        host: usize,
        method: &str,
        path: &str,
        based_on: Option<&str>,
        body: &str,
    ) -> CallHandle {
        match decode(Call { method, path, based_on, body: body.as_bytes() }) {
            Ok(command) => self.issue_command(host, command),
            Err(reply) => {
                let handle = self.next_handle();
                self.replies.insert(handle, reply);
                handle
            }
        }
    }

    fn next_handle(&mut self) -> CallHandle {
        self.next_call += 1;
        CallHandle(self.next_call)
    }

    fn issue_command(&mut self, host: usize, command: Command) -> CallHandle {
        let handle = self.next_handle();
        self.step(host, Input::Call { call: CallId(handle.0), command });
        handle
    }

    /// Issues a call and waits for its answer, for a second at most.
    pub fn call(
        &mut self,
        host: usize,
        method: &str,
        path: &str,
        based_on: Option<&str>,
        body: &str,
    ) -> Option<Reply> {
        while self.stands_still(host) {
            self.play(1);
        }
        let handle = self.issue(host, method, path, based_on, body);
        for _ in 0..1_000 {
            if self.replies.contains_key(&handle) {
                break;
            }
            self.play(1);
        }
        self.reply(handle)
    }

    pub fn reply(&self, call: CallHandle) -> Option<Reply> {
        self.replies.get(&call).cloned()
    }

    pub fn issue_heartbeat(&mut self, host: usize, id: &str, last: u8, state: &str, beat: u64) -> CallHandle {
        self.issue_heartbeat_with(host, id, last, state, beat, 1)
    }

    pub fn issue_heartbeat_with(
        &mut self,
        host: usize,
        id: &str,
        last: u8,
        state: &str,
        beat: u64,
        version: u64,
    ) -> CallHandle {
        let body = format!(
            r#"{{"service":"reader","address":"10.1.0.{last}:8080","zone":"zone-0","version":"v1","free-slots":12,"state":"{state}","cold-left-ms":0,"stage":"both_ways","models":[{{"name":"m","version":{version},"adapters":[]}}],"call-count":{beat}}}"#
        );
        self.issue(host, "POST", &format!("/nodes/{id}/heartbeat"), None, &body)
    }

    pub fn heartbeat(&mut self, host: usize, id: &str, last: u8, state: &str, beat: u64) -> Option<Reply> {
        let call = self.issue_heartbeat(host, id, last, state, beat);
        self.reply(call)
    }
}
