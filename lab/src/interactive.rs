//! The `up` command: a small cluster for manual requests, which runs until Ctrl-C.

use crate::cli::Failure;
use crate::link::lock;
use crate::plan::Plan;
use crate::run::{RunResources, SetUpError, World};
use crate::runner::RunError;
use crate::scenario::Scenario;
use std::path::PathBuf;

/// Scenario settings of the interactive cluster. Its length of one hour exceeds any expected session.
const SETTINGS: &str = "length_s = 3600\nload.per_s = 0.1\ncounter.per_s = 2000\n";

/// Starts the cluster, prints its addresses and an example request, and waits for a signal to stop.
pub(crate) async fn up(gateways: usize, backends: usize, resources: &RunResources) -> Result<u8, Failure> {
    let text = format!(
        "name = \"up\"\nabout = \"A cluster for manual requests.\"\n{SETTINGS}gateways.count = {gateways}\n\
         backends.count = {backends}\nload.spread = [1, {gateways}]\n"
    );
    let scenario = Scenario::parse(PathBuf::from("up"), &text, &[]).map_err(Failure::of_use)?;
    let mut plan = Plan::draw(&scenario, 1);
    // Ids of manual requests are not in the plan, so that any well-formed id is accepted.
    plan.open_ids = true;
    let class = plan.scenario.classes[0].name.clone();
    let customer = plan.customers[0].number;
    let plan_name = plan.scenario.plans[plan.customers[0].plan].name.clone();
    let world = tokio::select! {
        world = World::start(plan, resources) => world.map_err(|e: SetUpError| RunError::from(e))?,
        () = crate::shutdown_signal::asked() => return Err(RunError::Stopped.into()),
    };
    println!("gateway  clients                operators");
    for gateway in &world.gateways {
        let place = lock(&gateway.place);
        println!("g{:<7} {:<22} {}", gateway.number, place.listen.to_string(), place.ops);
    }
    let (listen, ops) = {
        let place = lock(&world.gateways[0].place);
        (place.listen, place.ops)
    };
    println!("logs     {}", resources.folder.display());
    println!("\nExample request, and statistics:\n");
    println!(
        "curl -i -H \"X-Call-Id: $(od -An -N8 -tx8 /dev/urandom | tr -d ' ')\" -H 'X-Call-Class: {class}' \
         -H 'X-Plan: {plan_name}' -H 'X-Budget-Ms: 1500' -H 'X-Quota: units=1,spread=1,first=0' \
         'http://{listen}/api?customer={customer:016x}'"
    );
    println!("curl http://{ops}/stats\n\nPress Ctrl-C to stop the cluster.");
    crate::shutdown_signal::asked().await;
    world.end().await;
    println!("\ncluster stopped");
    Ok(0)
}
