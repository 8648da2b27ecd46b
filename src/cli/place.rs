//! `steppick place`: solve, check, explain and diff placements.

use super::exit;
use clap::{Args, Subcommand};
use placement::{check, explain, plan, solve, Instance, Limits, Outcome, Placement, Proof, Solution};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Arguments of `steppick place`.
#[derive(Debug, Args)]
pub struct Place {
    /// Branches that are looked at, at most; the same number always gives the same result.
    #[arg(long, global = true, default_value_t = Limits::default().looks)]
    looks: u64,
    /// Print JSON instead of a table.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Find the best placement; exit code 2 where nothing fits, 3 where that is not known.
    #[command(
        after_help = "Example: steppick place solve examples/placement-instance.json --output placement.json"
    )]
    Solve {
        /// The instance.
        file: PathBuf,
        /// Write the placement that coordinators read to this file.
        #[arg(long, value_name = "FILE")]
        output: Option<PathBuf>,
        /// Version to give the placement.
        #[arg(long = "as-version", default_value_t = 1)]
        version: u64,
    },
    /// Check a placement against an instance; exit code 2 where it breaks a constraint.
    Check {
        /// The instance.
        file: PathBuf,
        /// The placement.
        placement: PathBuf,
    },
    /// Say which smallest set of constraints conflicts; exit code 2 where one does.
    Explain {
        /// The instance.
        file: PathBuf,
    },
    /// Print the steps from one placement to another; exit code 2 where none keep the constraints.
    Diff {
        /// The instance.
        file: PathBuf,
        /// The placement in force.
        from: PathBuf,
        /// The new placement.
        to: PathBuf,
    },
}

/// What went wrong, and the exit code.
#[derive(Debug)]
pub struct Failed(pub u8, pub String);

fn read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, placement::Fault>) -> Result<T, Failed> {
    let named = |why: String| Failed(exit::FILE, format!("{}: {why}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| named(error.to_string()))?;
    parse(&text).map_err(|fault| named(fault.to_string()))
}

/// Runs the sub-command and returns what it prints.
///
/// # Errors
/// What to print to standard error, and the exit code.
pub fn run(place: &Place) -> Result<String, Failed> {
    let limits = Limits { looks: place.looks };
    match &place.action {
        Action::Solve { file, output, version } => {
            let instance = read(file, Instance::read)?;
            let solution = solved(&instance, limits)?;
            let placement = Placement::of(&instance, &solution, *version);
            let text = serde_json::to_string_pretty(&placement).unwrap_or_default();
            if let Some(path) = output {
                // A reader sees the old file or the new one, never a part.
                let (new, why) = (path.with_extension("new"), |error| Failed(exit::FILE, format!("{error}")));
                std::fs::write(&new, &text).map_err(why)?;
                std::fs::rename(&new, path).map_err(why)?;
            }
            Ok(if place.json { text } else { table(&instance, &solution) })
        }
        Action::Check { file, placement } => {
            let instance = read(file, Instance::read)?;
            let placed = read(placement, Placement::read)?;
            let (links, weights) = placed
                .indexed(&instance)
                .map_err(|fault| Failed(exit::FILE, format!("{}: {fault}", placement.display())))?;
            let broken = check(&instance, &links, &weights);
            let lines: Vec<String> = broken.iter().map(|broken| broken.words(&instance)).collect();
            match (lines.is_empty(), place.json) {
                (true, false) => Ok("all constraints are kept".into()),
                (true, true) => Ok("[]".into()),
                (false, false) => Err(Failed(exit::NO, lines.join("\n"))),
                (false, true) => Err(Failed(exit::NO, serde_json::to_string(&lines).unwrap_or_default())),
            }
        }
        Action::Explain { file } => {
            let instance = read(file, Instance::read)?;
            match explain(&instance, limits) {
                Ok(None) => Ok("a placement fits".into()),
                Ok(Some(conflict)) => Err(Failed(exit::NO, conflict.words)),
                Err(left) => {
                    Err(Failed(exit::UNKNOWN, format!("not known after the looks; {left} constraints left")))
                }
            }
        }
        Action::Diff { file, from, to } => {
            let instance = read(file, Instance::read)?;
            let links = |path: &PathBuf| {
                let placed = read(path, Placement::read)?.indexed(&instance);
                placed.map_err(|fault| Failed(exit::FILE, format!("{}: {fault}", path.display())))
            };
            let steps = plan(&instance, &links(from)?.0, &links(to)?.0);
            let steps = steps.map_err(|stuck| Failed(exit::NO, stuck.to_string()))?;
            let name = |change: &placement::Change| {
                let coordinator = &instance.coordinators[change.coordinator].name;
                format!("{coordinator}-{}", instance.nodes[change.node].name)
            };
            let names = |changes: &[placement::Change]| changes.iter().map(name).collect::<Vec<_>>();
            let each: Vec<_> = steps.iter().map(|step| (names(&step.open), names(&step.close))).collect();
            if place.json {
                let each = each.iter().map(|(open, close)| serde_json::json!({"open": open, "close": close}));
                return Ok(serde_json::Value::from_iter(each).to_string());
            }
            let line = |(n, (open, close)): (usize, &(Vec<String>, Vec<String>))| {
                let part = |word: &str, names: &[String]| match names {
                    [] => String::new(),
                    names => format!(" {word} {}", names.join(", ")),
                };
                format!("step {}:{}{}", n + 1, part("open", open), part("close", close))
            };
            let lines: Vec<String> = each.iter().enumerate().map(line).collect();
            Ok(if lines.is_empty() { "no connection changes".into() } else { lines.join("\n") })
        }
    }
}

fn solved(instance: &Instance, limits: Limits) -> Result<Solution, Failed> {
    let started = std::time::Instant::now();
    let mut told = 0;
    let mut watch = |looks: u64, best: Option<&placement::Cost>| {
        // Progress once a second, on standard error: the result is what is printed.
        let seconds = started.elapsed().as_secs();
        if seconds > told {
            told = seconds;
            let best = best.map_or("none yet".to_string(), ToString::to_string);
            eprintln!("{looks} of {} looks, best: {best}", limits.looks);
        }
        true
    };
    match solve(instance, limits, &mut watch) {
        Outcome::Fits(solution) => Ok(*solution),
        Outcome::NothingFits(_) => {
            let words = explain(instance, limits).ok().flatten().map(|conflict| conflict.words);
            Err(Failed(
                exit::NO,
                format!("nothing fits: {}", words.unwrap_or_else(|| "no reason was found".into())),
            ))
        }
        Outcome::Unknown(looks) => {
            Err(Failed(exit::UNKNOWN, format!("nothing found in {looks} looks; ask for more with --looks")))
        }
    }
}

/// The placement for a person.
fn table(instance: &Instance, solution: &Solution) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "{}", solution.cost);
    let _ = match &solution.proof {
        Proof::Optimal => writeln!(text, "proved to be the best, in {} looks", solution.looks),
        Proof::Bound(bound) => {
            writeln!(text, "not proved in {} looks; nothing is better than: {bound}", solution.looks)
        }
    };
    let _ = writeln!(
        text,
        "\n{:16} {:10} {:>10} {:>10} {:>6}  connected",
        "node", "site", "work ms/s", "spare", "use"
    );
    for (n, (node, spare)) in instance.nodes.iter().zip(solution.spare(instance)).enumerate() {
        let load = solution.load[n];
        let who = instance.coordinators.iter().enumerate().filter(|(c, _)| solution.links.has(*c, n));
        let who: Vec<&str> = who.map(|(_, coordinator)| coordinator.name.as_str()).collect();
        let share = 100.0 * load / node.capacity;
        let (name, site, who) = (&node.name, &node.site, who.join(" "));
        let _ = writeln!(text, "{name:16} {site:10} {load:10.1} {spare:10.1} {share:5.1}%  {who}");
    }
    for (c, coordinator) in instance.coordinators.iter().enumerate() {
        let _ = writeln!(text, "\n{} ({}), by book:", coordinator.name, coordinator.site);
        for (book, each) in instance.books.iter().zip(&solution.weights[c]) {
            let some = each.iter().filter(|weight| weight.share > 0.0);
            let shares = some.map(|w| format!("{} {:.0}%", instance.nodes[w.node].name, 100.0 * w.share));
            let _ = writeln!(text, "  {:5}  {}", book.number, shares.collect::<Vec<_>>().join(", "));
        }
    }
    text.trim_end().to_string()
}
