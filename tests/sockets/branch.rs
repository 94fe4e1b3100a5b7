//! A branch that is cut off: writes are accepted by a majority of its gateways, survive the gateway that accepted them,
//! and run in order once the connection is back.

use crate::takeover::{cluster_files_with, start_ledger_gateway, start_ledger_gateway_with};
use crate::world::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BRANCH: &str =
    "[branch]\nseats = [\"a\", \"b\", \"c\"]\nclasses = [\"buy\"]\ncut_after_ms = 200\nper_s = 50\n";

fn write_request(number: usize) -> String {
    request("buy", 3000)
        .replace("k-17", &format!("k-{number}"))
        .replace("hello", &format!("mark{number}")[..5])
}

/// Sends reads, which no backend answers, until all gateways have detected that the branch is cut off.
fn wait_until_cut_off(gateways: &[Gateway]) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while gateways.iter().any(|gateway| gateway.metric("fleet.branch.cut") == 0) {
        let stats =
            || gateways.iter().map(|gateway| gateway.admin_call("GET", "/stats").body).collect::<String>();
        assert!(Instant::now() < deadline, "the branch did not detect that it is cut off: {}", stats());
        gateways.iter().for_each(|gateway| {
            drop(gateway.client().round_trip(&request("look", 600).replace("b4d65521", "b4d65522")))
        });
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn writes_of_a_cut_off_branch_survive_a_killed_gateway_and_run_once_in_order() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    // The only backend refuses connections, so the branch is cut off.
    let refusing = Refusing::start();
    let refusing_address = refusing.address();
    let discovery = Discovery::start(&backend_entry("s-1", refusing_address, "ready"));
    let (counter, files) = (counter_stub(), cluster_files_with(BRANCH));
    let mut gateways: Vec<Gateway> =
        (0..3).map(|number| start_ledger_gateway(number, &discovery, &counter, &files[number])).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.ledger.votes", 1);
        gateway.wait_for_metric("fleet.branch.votes", 1);
    }
    assert_ne!(
        gateways[0].client().round_trip(&write_request(0)).status(),
        202,
        "the gateway has not detected yet that it is cut off"
    );
    wait_until_cut_off(&gateways);
    let mut locations = Vec::new();
    for (number, gateway) in [(1, 0), (2, 1), (3, 0), (4, 2), (5, 0)] {
        let response = gateways[gateway].client().round_trip(&write_request(number));
        assert_eq!(response.status(), 202, "{}", response.body);
        locations.push(response.header("location").expect("a Location header").to_string());
    }
    let repeated = gateways[2].client().round_trip(&write_request(1));
    assert_eq!(
        (repeated.status(), repeated.header("location")),
        (202, Some(locations[0].as_str())),
        "the repeated write gets the same location"
    );
    gateways[0].child.kill().expect("the process is killed");
    gateways[0].child.wait().expect("the process exits");
    let write_status = |gateway: &Gateway, location: &str| {
        let response =
            gateway.client().round_trip(&format!("GET {location} HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
        (response.status(), response.body.trim().to_string())
    };
    for location in &locations {
        assert_eq!(write_status(&gateways[1], location), (200, "waiting".into()), "{location}");
    }
    assert_eq!(write_status(&gateways[1], "/writes/0-00000001-1").0, 404);
    assert_eq!(write_status(&gateways[1], "/writes/rubbish").0, 404);
    assert!(backend.requests().iter().all(|r| r.line.starts_with("GET")), "no write has run");
    // A backend of another name, so that no earlier failures count against it.
    let moved_backend = backend_entry("s-1", refusing_address, "gone")
        + ","
        + &backend_entry("s-2", backend.address, "ready");
    discovery.publish(42, &endpoint_list(42, false, &moved_backend));
    let deadline = Instant::now() + WAIT_TIMEOUT * 4;
    for location in &locations {
        while write_status(&gateways[2], location).1 != "done 200" {
            let stats = || {
                gateways[1].admin_call("GET", "/stats").body + &gateways[2].admin_call("GET", "/stats").body
            };
            assert!(
                Instant::now() < deadline,
                "{location}: {:?} {}",
                write_status(&gateways[2], location),
                stats()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
    let bodies_run: Vec<String> =
        backend.requests().iter().filter(|r| r.line.starts_with("POST")).map(|r| r.body.clone()).collect();
    assert_eq!(
        bodies_run,
        ["mark1", "mark2", "mark3", "mark4", "mark5"],
        "each write runs once, those of one customer in order"
    );
    let direct = gateways[1].client().round_trip(&write_request(6));
    assert_eq!(direct.status(), 200, "the write queue is empty, so the write is forwarded directly");
    let writes_done: u64 = gateways[1..].iter().map(|gateway| gateway.metric("fleet.branch.done")).sum();
    assert_eq!(writes_done, 5);
}

/// A repeat ran a second time whose first try was still in progress at a gateway without a record.
#[test]
fn a_repeat_whose_first_try_the_branch_does_not_know_is_not_accepted() {
    let refusing = Refusing::start();
    let discovery = Discovery::start(&backend_entry("s-1", refusing.address(), "ready"));
    let (counter, files) = (counter_stub(), cluster_files_with(BRANCH));
    let gateways: Vec<Gateway> =
        (0..3).map(|number| start_ledger_gateway(number, &discovery, &counter, &files[number])).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.ledger.votes", 1);
        gateway.wait_for_metric("fleet.branch.votes", 1);
    }
    wait_until_cut_off(&gateways);
    let repeat = |number| write_request(number).replace("X-Plan", "X-Again: 1\r\nX-Plan");
    let unknown = gateways[1].client().round_trip(&repeat(1));
    assert_ne!(unknown.status(), 202, "its first try may have run: {}", unknown.body);
    let location = send_accepted_write(&gateways[0], 2);
    let known = gateways[0].client().round_trip(&repeat(2));
    assert_eq!((known.status(), known.header("location")), (202, Some(location.as_str())));
}

/// Sends a write that the branch has to accept, and returns its location. Key and body differ by number.
fn send_accepted_write(gateway: &Gateway, number: usize) -> String {
    let response = gateway.client().round_trip(&write_request(number));
    assert_eq!(response.status(), 202, "{}", response.body);
    response.header("location").expect("a Location header").to_string()
}

#[test]
fn accepted_writes_run_after_all_gateways_of_the_branch_were_killed_and_restarted() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let refusing = Refusing::start();
    let refusing_address = refusing.address();
    let discovery = Discovery::start(&backend_entry("s-1", refusing_address, "ready"));
    let counter = counter_stub();
    let disk_folder = std::env::temp_dir().join(format!("disks-{}", std::process::id()));
    for name in ["a", "b", "c"] {
        std::fs::create_dir_all(disk_folder.join(name)).expect("a folder");
    }
    let files = cluster_files_with(&format!("dir = \"{}/{{name}}\"\n{BRANCH}", disk_folder.display()));
    let start_gateway = |number: usize| start_ledger_gateway(number, &discovery, &counter, &files[number]);
    let wait_until_ready = |gateways: &[Gateway]| {
        for gateway in gateways {
            gateway.wait_ready();
            gateway.wait_for_metric("fleet.present", 3);
            gateway.wait_for_metric("fleet.disk.works", 1);
            gateway.wait_for_metric("fleet.branch.votes", 1);
        }
    };
    let mut gateways: Vec<Gateway> = (0..3).map(start_gateway).collect();
    wait_until_ready(&gateways);
    wait_until_cut_off(&gateways);
    let locations: Vec<String> =
        (1..6).map(|number| send_accepted_write(&gateways[number % 3], number)).collect();
    for gateway in &mut gateways {
        gateway.child.kill().expect("the process is killed");
        gateway.child.wait().expect("the process exits");
    }
    let gateways: Vec<Gateway> = (0..3).map(start_gateway).collect();
    wait_until_ready(&gateways);
    let write_status = |gateway: &Gateway, location: &str| {
        gateway
            .client()
            .round_trip(&format!("GET {location} HTTP/1.1\r\nHost: origin.svc\r\n\r\n"))
            .body
            .trim()
            .to_string()
    };
    let moved_backend = backend_entry("s-1", refusing_address, "gone")
        + ","
        + &backend_entry("s-2", backend.address, "ready");
    discovery.publish(42, &endpoint_list(42, false, &moved_backend));
    let deadline = Instant::now() + WAIT_TIMEOUT * 4;
    for location in &locations {
        while write_status(&gateways[2], location) != "done 200" {
            let stats = || {
                gateways.iter().map(|gateway| gateway.admin_call("GET", "/stats").body).collect::<String>()
            };
            assert!(
                Instant::now() < deadline,
                "{location}: {:?} {}",
                write_status(&gateways[2], location),
                stats()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
    let bodies_run: Vec<String> =
        backend.requests().iter().filter(|r| r.line.starts_with("POST")).map(|r| r.body.clone()).collect();
    assert_eq!(bodies_run, ["mark1", "mark2", "mark3", "mark4", "mark5"], "each write runs once, in order");
    drop(gateways);
    std::fs::remove_dir_all(disk_folder).expect("the folder is removed");
}

#[test]
fn a_write_that_may_have_run_and_is_not_idempotent_ends_as_unknown() {
    let posts_received = AtomicUsize::new(0);
    let backend = Stub::start(move |request| match request.line.starts_with("POST") {
        true if posts_received.fetch_add(1, Ordering::SeqCst) == 0 => Reply::Silence,
        _ => http("200 OK", "done"),
    });
    let refusing = Refusing::start();
    let refusing_address = refusing.address();
    let discovery = Discovery::start(&backend_entry("s-1", refusing_address, "ready"));
    let (counter, files) =
        (counter_stub(), cluster_files_with(&BRANCH.replace("\"buy\"", "\"buy\", \"once\"")));
    let gateways: Vec<Gateway> =
        (0..3).map(|number| start_ledger_gateway(number, &discovery, &counter, &files[number])).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.branch.votes", 1);
    }
    wait_until_cut_off(&gateways);
    let response = gateways[0].client().round_trip(&request("once", 2000));
    assert_eq!(response.status(), 202, "{}", response.body);
    let location = response.header("location").expect("a Location header").to_string();
    let moved_backend = backend_entry("s-1", refusing_address, "gone")
        + ","
        + &backend_entry("s-2", backend.address, "ready");
    discovery.publish(42, &endpoint_list(42, false, &moved_backend));
    let write_status = || {
        gateways[1].client().round_trip(&format!("GET {location} HTTP/1.1\r\nHost: origin.svc\r\n\r\n")).body
    };
    let deadline = Instant::now() + WAIT_TIMEOUT * 4;
    while ["waiting\n", "sent\n"].contains(&write_status().as_str()) {
        assert!(Instant::now() < deadline, "{}", write_status());
        thread::sleep(Duration::from_millis(20));
    }
    let posts_sent = backend.requests().iter().filter(|r| r.line.starts_with("POST")).count();
    assert_eq!((write_status().trim(), posts_sent), ("unknown: it may have run", 1));
}

#[test]
fn a_branch_whose_list_never_changes_notices_that_its_uplink_is_back() {
    let refusing = Refusing::start();
    let entry = backend_entry("s-1", refusing.address(), "ready");
    let discovery = Discovery::start(&entry);
    let (counter, files) = (counter_stub(), cluster_files_with(BRANCH));
    // The last known list is the present one, so that discovery has nothing to tell.
    let known = format!("\"known\":{},\"settings\":", endpoint_list(41, true, &entry));
    let config = config(discovery.stub.address, counter.address).replace("\"settings\":", &known);
    let gateways: Vec<Gateway> =
        (0..3).map(|number| start_ledger_gateway_with(number, &config, &files[number])).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.branch.votes", 1);
    }
    wait_until_cut_off(&gateways);
    send_accepted_write(&gateways[0], 1);
    // No request is sent from here on: the gateways have to look for the uplink themselves.
    let backend = Stub::start_on(refusing.listen(), |_| http("200 OK", "done"));
    backend.wait_for("the accepted write", |log| log.requests.iter().any(|r| r.line.starts_with("POST")));
}
