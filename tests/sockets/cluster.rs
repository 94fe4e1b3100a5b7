//! Cluster membership of gateway processes, and a gateway without a cluster.

use crate::replacement::{wait_until_serving, Platform};
use crate::world::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;

/// Writes a cluster file for each name; returns the gossip addresses and files. The ports were free a moment ago.
fn cluster_files(names: &[&str]) -> Vec<(SocketAddr, PathBuf)> {
    let addresses: Vec<SocketAddr> = names.iter().map(|_| free_udp_address()).collect();
    let peers: Vec<String> =
        names.iter().zip(&addresses).map(|(name, address)| format!("{name} = \"{address}\"\n")).collect();
    let write_file = |(name, address): (&&str, &SocketAddr)| {
        let path = std::env::temp_dir().join(format!("fleet-{}-{}.toml", std::process::id(), address.port()));
        let head = format!("fleet = \"test\"\nname = \"{name}\"\nlisten = \"{address}\"\nperiod_ms = 200\n");
        std::fs::write(&path, format!("{head}[peers]\n{}", peers.concat())).expect("the file is written");
        (*address, path)
    };
    names.iter().zip(&addresses).map(write_file).collect()
}

fn member_command(discovery: &Discovery, counter: &Stub, file: &PathBuf) -> Command {
    let mut command = gateway_command(&config(discovery.stub.address, counter.address));
    command.env("NODE_FLEET", file);
    command
}

/// Returns the number of datagram sockets that a process has open.
fn datagram_sockets(gateway: &Gateway) -> usize {
    let udp_table = std::fs::read_to_string(format!("/proc/{}/net/udp", gateway.child.id()))
        .expect("the proc file system of Linux");
    let inodes: Vec<String> = udp_table
        .lines()
        .skip(1)
        .filter_map(|line| Some(format!("socket:[{}]", line.split_whitespace().nth(9)?)))
        .collect();
    let files =
        std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).expect("the proc file system of Linux");
    let links =
        files.filter_map(|entry| Some(std::fs::read_link(entry.ok()?.path()).ok()?.display().to_string()));
    links.filter(|link| inodes.contains(link)).count()
}

#[test]
fn without_a_cluster_file_there_is_no_datagram_socket_admin_call_or_metric() {
    let (_backend, _discovery, _counter, gateway) = crate::gateway_with_backend(|_| http("200 OK", "ok"));
    assert_eq!(datagram_sockets(&gateway), 0);
    let (fleet_response, unknown_path) =
        (gateway.admin_call("GET", "/fleet"), gateway.admin_call("GET", "/nonsense"));
    assert_eq!((fleet_response.status(), &fleet_response.body), (404, &unknown_path.body));
    let stats = gateway.admin_call("GET", "/stats").body;
    assert!(stats.lines().all(|line| !line.contains("fleet")), "{stats}");
}

#[test]
fn gateways_find_each_other_distinguish_leaving_from_failure_and_ignore_malformed_datagrams() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let counter = counter_stub();
    let files = cluster_files(&["a", "b", "c"]);
    let start = |number: usize| Gateway::spawn(member_command(&discovery, &counter, &files[number].1));
    let (first, mut second, mut third) = (start(0), start(1), start(2));
    first.wait_for_metric("fleet.present", 3);
    assert_eq!(datagram_sockets(&first), 1);
    // Malformed datagrams of many lengths, the longest ones above the datagram limit.
    let outsider = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for length in 0..40 {
        outsider.send_to(&vec![0x53; length * 37], files[0].0).expect("the datagram is sent");
    }
    first.wait_for_metric("fleet.strangers.oversized", 7);
    assert_eq!(first.client().round_trip(&request("look", 3000)).status(), 200);
    second.terminate();
    first.wait_for_metric("fleet.left", 1);
    assert_eq!(first.metric("fleet.down"), 0, "a gateway that announced its leaving is not down");
    assert_eq!(second.wait_for_exit(), Some(0));
    third.child.kill().expect("the process is killed");
    third.child.wait().expect("the process exits");
    first.wait_for_metric("fleet.down", 1);
    let members = first.admin_call("GET", "/fleet").body;
    assert!(members.contains("\"state\": \"left\"") && members.contains("\"state\": \"down\""), "{members}");
    assert_eq!(first.metric("fleet.present"), 1);
}

#[test]
fn a_successor_process_stays_the_same_cluster_member_during_a_replacement() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, platform, files) = (counter_stub(), Platform::new(), cluster_files(&["a", "b"]));
    let watcher = Gateway::spawn(member_command(&discovery, &counter, &files[0].1));
    let start = || {
        let mut command = platform.command(&config(discovery.stub.address, counter.address));
        command.env("NODE_FLEET", &files[1].1);
        Gateway::spawn(command)
    };
    let mut predecessor = start();
    watcher.wait_for_metric("fleet.present", 2);
    let successor = start();
    wait_until_serving(&successor);
    successor.wait_for_metric("fleet.present", 2);
    predecessor.terminate();
    assert_eq!(predecessor.wait_for_exit(), Some(0));
    for _ in 0..20 {
        let down_or_left = watcher.metric("fleet.down") + watcher.metric("fleet.left");
        assert_eq!(
            (watcher.metric("fleet.present"), down_or_left),
            (2, 0),
            "{}",
            watcher.admin_call("GET", "/fleet").body
        );
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

#[test]
fn a_bad_cluster_file_is_reported_in_one_line() {
    let (_, path) = cluster_files(&["a"]).remove(0);
    let good = std::fs::read_to_string(&path).expect("the file is written");
    for (bad, expected_word) in [
        ("fleet = ".to_string(), "line 1"),
        (good.replace("name = \"a\"", "name = \"a b\""), "name"),
        (good.replace("period_ms = 200", "period_ms = 2"), "period"),
        (good.replace("period_ms", "piriod_ms"), "piriod_ms"),
        (good.replace("period_ms", "lend = 0.5\nperiod_ms"), "lend"),
        (good.replace("period_ms", "seats = [\"a\"]\nperiod_ms"), "seats"),
        (format!("{good}[ledger]\n"), "ledger.holders"),
        (format!("{good}[ledger]\nwait_ms = 101\n"), "ledger.wait_ms"),
    ] {
        std::fs::write(&path, bad).expect("the file is written");
        let mut command =
            gateway_command(&config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap()));
        let output = command.env("NODE_FLEET", &path).output().expect("the gateway command runs");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8 text");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(expected_word), "{expected_word}: {stderr}");
    }
}
