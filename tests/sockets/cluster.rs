//! Gateways that know of each other, and one that does not.

use crate::replacement::{wait_until_serving, Platform};
use crate::world::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;

/// Names, sockets and files of a fleet of so many. The ports were free a moment ago.
fn fleet(names: &[&str]) -> Vec<(SocketAddr, PathBuf)> {
    let held: Vec<UdpSocket> =
        names.iter().map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let at: Vec<SocketAddr> = held.iter().map(|socket| socket.local_addr().expect("bound")).collect();
    let peers: Vec<String> = names.iter().zip(&at).map(|(name, at)| format!("{name} = \"{at}\"\n")).collect();
    let file = |(name, at): (&&str, &SocketAddr)| {
        let path = std::env::temp_dir().join(format!("fleet-{}-{}.toml", std::process::id(), at.port()));
        let head = format!("fleet = \"test\"\nname = \"{name}\"\nlisten = \"{at}\"\nperiod_ms = 200\n");
        std::fs::write(&path, format!("{head}[peers]\n{}", peers.concat())).expect("written");
        (*at, path)
    };
    names.iter().zip(&at).map(file).collect()
}

fn member_of(discovery: &Discovery, counter: &Stub, file: &PathBuf) -> Command {
    let mut command = program(&config(discovery.stub.address, counter.address));
    command.env("NODE_FLEET", file);
    command
}

/// The inodes of the datagram sockets that a process holds.
fn datagram_sockets(node: &Node) -> usize {
    let all = std::fs::read_to_string(format!("/proc/{}/net/udp", node.child.id())).expect("Linux");
    let inodes: Vec<String> = all
        .lines()
        .skip(1)
        .filter_map(|l| Some(format!("socket:[{}]", l.split_whitespace().nth(9)?)))
        .collect();
    let files = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("Linux");
    let held = files.filter_map(|f| Some(std::fs::read_link(f.ok()?.path()).ok()?.display().to_string()));
    held.filter(|link| inodes.contains(link)).count()
}

#[test]
fn without_a_file_that_names_a_fleet_nothing_of_it_is_there() {
    let (_backend, _discovery, _counter, node) = crate::before(|_| http("200 OK", "ok"));
    assert_eq!(datagram_sockets(&node), 0);
    let (fleet, nonsense) = (node.operate("GET", "/fleet"), node.operate("GET", "/nonsense"));
    assert_eq!((fleet.status(), &fleet.body), (404, &nonsense.body));
    let stats = node.operate("GET", "/stats").body;
    assert!(stats.lines().all(|line| !line.contains("fleet")), "{stats}");
}

#[test]
fn gateways_find_each_other_and_tell_a_leaver_from_a_death_and_from_rubbish() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let files = fleet(&["a", "b", "c"]);
    let start = |n: usize| Node::spawn(member_of(&discovery, &counter, &files[n].1));
    let (first, mut second, mut third) = (start(0), start(1), start(2));
    first.wait_for_figure("fleet.present", 3);
    assert_eq!(datagram_sockets(&first), 1);
    // Rubbish of every length, and one datagram that is longer than any.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for length in 0..40 {
        stranger.send_to(&vec![0x53; length * 37], files[0].0).expect("sent");
    }
    first.wait_for_figure("fleet.strangers.oversized", 7);
    assert_eq!(first.client().ask(&request("look", 3000)).status(), 200);
    second.terminate();
    first.wait_for_figure("fleet.left", 1);
    assert_eq!(first.figure("fleet.down"), 0, "it said goodbye");
    assert_eq!(second.ended(), Some(0));
    third.child.kill().expect("killed");
    third.child.wait().expect("ended");
    first.wait_for_figure("fleet.down", 1);
    let told = first.operate("GET", "/fleet").body;
    assert!(told.contains("\"state\": \"left\"") && told.contains("\"state\": \"down\""), "{told}");
    assert_eq!(first.figure("fleet.present"), 1);
}

#[test]
fn a_process_that_takes_anothers_place_is_the_same_member_throughout() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, platform, files) = (counter(), Platform::new(), fleet(&["a", "b"]));
    let watcher = Node::spawn(member_of(&discovery, &counter, &files[0].1));
    let start = || {
        let mut command = platform.command(&config(discovery.stub.address, counter.address));
        command.env("NODE_FLEET", &files[1].1);
        Node::spawn(command)
    };
    let mut elder = start();
    watcher.wait_for_figure("fleet.present", 2);
    let younger = start();
    wait_until_serving(&younger);
    younger.wait_for_figure("fleet.present", 2);
    elder.terminate();
    assert_eq!(elder.ended(), Some(0));
    for _ in 0..20 {
        let gone = watcher.figure("fleet.down") + watcher.figure("fleet.left");
        assert_eq!(
            (watcher.figure("fleet.present"), gone),
            (2, 0),
            "{}",
            watcher.operate("GET", "/fleet").body
        );
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

#[test]
fn a_bad_fleet_file_is_one_plain_line() {
    let (_, path) = fleet(&["a"]).remove(0);
    let good = std::fs::read_to_string(&path).expect("written");
    for (bad, named) in [
        ("fleet = ".to_string(), "line 1"),
        (good.replace("name = \"a\"", "name = \"a b\""), "name"),
        (good.replace("period_ms = 200", "period_ms = 2"), "period"),
        (good.replace("period_ms", "piriod_ms"), "piriod_ms"),
        (good.replace("period_ms", "lend = 0.5\nperiod_ms"), "lend"),
        (good.replace("period_ms", "seats = [\"a\"]\nperiod_ms"), "seats"),
        (format!("{good}[ledger]\n"), "ledger.holders"),
        (format!("{good}[ledger]\nwait_ms = 101\n"), "ledger.wait_ms"),
    ] {
        std::fs::write(&path, bad).expect("written");
        let mut command = program(&config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap()));
        let done = command.env("NODE_FLEET", &path).output().expect("it runs");
        let told = String::from_utf8(done.stderr).expect("text");
        assert_eq!(done.status.code(), Some(1), "{told}");
        assert!(told.lines().count() == 1 && told.contains(named), "{named}: {told}");
    }
}
