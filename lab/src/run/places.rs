//! Where each gateway of a run listens, and the environment that it is started with.

use super::loopback_net::last_byte;
use super::{RunResources, SetUpError};
use crate::datagrams::Mesh;
use crate::gateway::Place;
use crate::run_context::RunContext;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;

/// Addresses of all gateways, with those of each other where they talk.
pub(super) async fn places(
    context: &Arc<RunContext>,
    resources: &RunResources,
) -> Result<Vec<Place>, SetUpError> {
    let scenario = &context.plan.scenario;
    let count = scenario.gateways.count;
    let own = |gateway| context.side(gateway, last_byte::OWN);
    let nowhere = SocketAddr::new(own(0), 0);
    let mut places = Vec::with_capacity(count);
    let mut held = Vec::new();
    let mut peers = Vec::new();
    for number in 0..count {
        // Held until all are chosen, so that none is chosen twice.
        let (listen, ops) = (TcpListener::bind((own(number), 0))?, TcpListener::bind((own(number), 0))?);
        let datagrams = UdpSocket::bind((own(number), 0))?;
        peers.push(datagrams.local_addr()?);
        let second = resources.second.as_ref().filter(|_| scenario.gateways.second.contains(&number));
        places.push(Place {
            listen: listen.local_addr()?,
            ops: ops.local_addr()?,
            discovery: nowhere,
            counter: nowhere,
            env: Vec::new(),
            binary: second.unwrap_or(&resources.binary).clone(),
        });
        held.push((listen, ops, datagrams));
    }
    let mesh = match scenario.gateways.peers {
        true => {
            let ips: Vec<IpAddr> = (0..count).map(|g| context.side(g, last_byte::PEERS)).collect();
            Some(Mesh::open(&ips, peers, &context.links).await?)
        }
        false => None,
    };
    for (number, place) in places.iter_mut().enumerate() {
        place.env = environment(context, mesh.as_ref(), number)?;
    }
    Ok(places)
}

/// A gateway's further environment, with its own names in place.
fn environment(
    context: &RunContext,
    mesh: Option<&Mesh>,
    number: usize,
) -> io::Result<Vec<(String, String)>> {
    let scenario = &context.plan.scenario;
    let peers = context.folder.join(format!("g{number}.peers.toml"));
    let mut listen = String::new();
    if let Some(mesh) = mesh {
        let others = mesh.seen[number].iter().enumerate().filter(|(other, _)| *other != number);
        let lines: Vec<String> =
            others.map(|(other, address)| format!("g{other} = \"{address}\"\n")).collect();
        listen = mesh.own[number].to_string();
        let zone = &scenario.net.zones[number % scenario.zones()];
        let seats: Vec<String> = (0..mesh.own.len()).map(|gateway| format!("\"g{gateway}\"")).collect();
        let head = format!(
            "fleet = \"lab\"\nlisten = \"{listen}\"\nzone = \"{zone}\"\nlend = {}\nseats = [{}]\n",
            scenario.gateways.lend,
            seats.join(", ")
        );
        let ledger = &scenario.gateways.ledger;
        let mut ledger: String = ledger.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
        if scenario.gateways.disks {
            let disk = context.folder.join(format!("g{number}.disk"));
            std::fs::create_dir_all(&disk)?;
            ledger.push_str(&format!("dir = \"{}\"\n", std::path::absolute(&disk)?.display()));
        }
        let ledger = if ledger.is_empty() { ledger } else { format!("\n[ledger]\n{ledger}") };
        let branch = &scenario.gateways.branch;
        let lines_of: String = branch.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
        let branch = match branch.is_empty() {
            true => String::new(),
            false => {
                let branches = scenario.gateways.branches.max(1);
                let of_branch = seats.iter().skip(number % branches).step_by(branches);
                let of_branch: Vec<&str> = of_branch.map(String::as_str).collect();
                format!("\n[branch]\nseats = [{}]\n{lines_of}", of_branch.join(", "))
            }
        };
        let rollout = if scenario.gateways.rollout { "\n[rollout]\n" } else { "" };
        std::fs::write(&peers, format!("{head}\n[peers]\n{}{ledger}{rollout}{branch}", lines.concat()))?;
    }
    let folder = |path: &Path| path.display().to_string();
    let fill = |text: &String| {
        text.replace("{name}", &format!("g{number}"))
            .replace("{zone}", &scenario.net.zones[number % scenario.zones()])
            .replace("{folder}", &folder(&context.folder))
            .replace("{peers}", &folder(&peers))
            .replace("{peer_listen}", &listen)
    };
    Ok(scenario.gateways.env.iter().map(|(name, text)| (name.clone(), fill(text))).collect())
}
