//! Two of three are left in the moment in which two changes raced: they answer, whatever each of them has accepted.

mod support;

use rstest::rstest;
use support::{configuration, Cluster};

#[rstest]
fn the_last_two_answer_reads_after_a_race(#[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64) {
    for seed in part * 40..(part + 1) * 40 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.play(20 + seed % 50);
        let first = configuration(7, 3);
        let mut taken = false;
        while !taken {
            let reply = cluster.call(0, "POST", "/config/replace", Some("0"), &first);
            taken = reply.is_some_and(|reply| reply.status == 200);
        }
        let left = cluster.issue(0, "POST", "/config/replace", Some("7"), &configuration(8, 4));
        let right = cluster.issue(1, "POST", "/config/replace", Some("7"), &configuration(9, 5));
        let mut waited = 0;
        while cluster.reply(left).is_none() || cluster.reply(right).is_none() {
            cluster.play(1);
            waited += 1;
            assert!(waited < 1_000, "seed {seed}: the race is not answered");
        }
        cluster.stop(0);
        let until = cluster.now + 5_000;
        loop {
            let reply = cluster.call(2, "GET", "/config/read", None, "").expect("answered");
            if reply.status == 200 {
                break;
            }
            assert!(cluster.now < until, "seed {seed}: no read: {}", String::from_utf8_lossy(&reply.body));
        }
    }
}
