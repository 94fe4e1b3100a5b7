//! Chooses the addresses on which each gateway of a run listens, and the environment of its process.

use super::loopback_net::last_byte;
use super::{RunResources, SetUpError};
use crate::datagrams::Mesh;
use crate::gateway::Place;
use crate::run_context::RunContext;
use crate::scenario::Gateways;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;

/// Returns the addresses and environment of all gateways, with the addresses of their peers if the scenario has peers.
pub(super) async fn places(
    context: &Arc<RunContext>,
    resources: &RunResources,
) -> Result<Vec<Place>, SetUpError> {
    let scenario = &context.plan.scenario;
    let count = scenario.gateways.count;
    let own_address = |gateway| context.side(gateway, last_byte::OWN);
    let unset = SocketAddr::new(own_address(0), 0);
    let mut places = Vec::with_capacity(count);
    let mut bound_sockets = Vec::new();
    let mut peers = Vec::new();
    for number in 0..count {
        // The sockets stay bound until all ports are chosen, so that no port is chosen twice.
        let listen = TcpListener::bind((own_address(number), 0))?;
        let ops = TcpListener::bind((own_address(number), 0))?;
        let datagrams = UdpSocket::bind((own_address(number), 0))?;
        peers.push(datagrams.local_addr()?);
        let second = resources.second.as_ref().filter(|_| scenario.gateways.second.contains(&number));
        places.push(Place {
            listen: listen.local_addr()?,
            ops: ops.local_addr()?,
            discovery: unset,
            counter: unset,
            env: Vec::new(),
            binary: second.unwrap_or(&resources.binary).clone(),
        });
        bound_sockets.push((listen, ops, datagrams));
    }
    let mesh = if scenario.gateways.peers {
        let ips: Vec<IpAddr> = (0..count).map(|gateway| context.side(gateway, last_byte::PEERS)).collect();
        Some(Mesh::open(&ips, peers, &context.links).await?)
    } else {
        None
    };
    for (number, place) in places.iter_mut().enumerate() {
        place.env = environment(context, mesh.as_ref(), number)?;
    }
    Ok(places)
}

/// Returns the additional environment of a gateway, with the placeholders of the scenario replaced. Writes the cluster file.
fn environment(
    context: &RunContext,
    mesh: Option<&Mesh>,
    number: usize,
) -> io::Result<Vec<(String, String)>> {
    let scenario = &context.plan.scenario;
    let peers = context.folder.join(format!("g{number}.peers.toml"));
    let mut listen = String::new();
    if let Some(mesh) = mesh {
        listen = mesh.own[number].to_string();
        std::fs::write(&peers, cluster_file(context, mesh, number)?)?;
    }
    let path_text = |path: &Path| path.display().to_string();
    let substitute = |text: &String| {
        text.replace("{name}", &format!("g{number}"))
            .replace("{zone}", &scenario.net.zones[number % scenario.zones()])
            .replace("{folder}", &path_text(&context.folder))
            .replace("{peers}", &path_text(&peers))
            .replace("{peer_listen}", &listen)
    };
    Ok(scenario.gateways.env.iter().map(|(name, text)| (name.clone(), substitute(text))).collect())
}

/// Returns the text of a gateway's cluster file, which `NODE_FLEET` names.
fn cluster_file(context: &RunContext, mesh: &Mesh, number: usize) -> io::Result<String> {
    let scenario = &context.plan.scenario;
    let listen = mesh.own[number];
    let zone = &scenario.net.zones[number % scenario.zones()];
    let seats: Vec<String> = (0..mesh.own.len()).map(|gateway| format!("\"g{gateway}\"")).collect();
    let head = format!(
        "fleet = \"lab\"\nlisten = \"{listen}\"\nzone = \"{zone}\"\nlend = {}\nseats = [{}]\n",
        scenario.gateways.lend,
        seats.join(", ")
    );
    let others = mesh.seen[number].iter().enumerate().filter(|(other, _)| *other != number);
    let peers: Vec<String> = others.map(|(other, address)| format!("g{other} = \"{address}\"\n")).collect();
    let ledger = ledger_section(context, number)?;
    let rollout = if scenario.gateways.rollout { "\n[rollout]\n" } else { "" };
    let branch = branch_section(&scenario.gateways, &seats, number);
    Ok(format!("{head}\n[peers]\n{}{ledger}{rollout}{branch}", peers.concat()))
}

/// Returns the ledger section of a cluster file, empty if the scenario sets nothing. Creates the gateway's disk folder.
fn ledger_section(context: &RunContext, number: usize) -> io::Result<String> {
    let gateways = &context.plan.scenario.gateways;
    let mut lines: String =
        gateways.ledger.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
    if gateways.disks {
        let disk = context.folder.join(format!("g{number}.disk"));
        std::fs::create_dir_all(&disk)?;
        lines.push_str(&format!("dir = \"{}\"\n", std::path::absolute(&disk)?.display()));
    }
    if lines.is_empty() {
        return Ok(lines);
    }
    Ok(format!("\n[ledger]\n{lines}"))
}

/// Returns the branch section of a cluster file, empty if the scenario sets nothing.
fn branch_section(gateways: &Gateways, seats: &[String], number: usize) -> String {
    if gateways.branch.is_empty() {
        return String::new();
    }
    let lines: String = gateways.branch.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
    let branches = gateways.branches.max(1);
    let members = seats.iter().skip(number % branches).step_by(branches);
    let members: Vec<&str> = members.map(String::as_str).collect();
    format!("\n[branch]\nseats = [{}]\n{lines}", members.join(", "))
}
