//! Plots the CSV table of the experiment as SVG, one file per column.
//!
//! `cargo run --release -p dottereltally-lib --example plots -- CSV DIRECTORY`

use std::{
    collections::{BTreeMap, BTreeSet},
    error, fs,
    path::Path,
};

use plotters::prelude::*;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (1100, 480);

/// Width of a scenario's group of bars as a fraction of its section of the x axis.
const GROUP_WIDTH: f64 = 0.8;

/// Values of one column: median, minimum and maximum by scenario and variant.
type Column = BTreeMap<(String, String), (f64, f64, f64)>;

/// Rows of the file by column, with scenarios and variants in file order.
struct Table {
    columns: BTreeMap<String, Column>,
    scenarios: Vec<String>,
    variants: Vec<String>,
}

fn read(csv: &str) -> Table {
    let mut table = Table {
        columns: BTreeMap::new(),
        scenarios: Vec::new(),
        variants: Vec::new(),
    };
    let mut seen = BTreeSet::new();
    for line in csv.lines().skip(1) {
        let fields: Vec<&str> = line.split(',').collect();
        let [scenario, variant, column, median, least, greatest] = fields[..] else {
            continue;
        };
        if seen.insert(format!("scenario {scenario}")) {
            table.scenarios.push(scenario.to_owned());
        }
        if seen.insert(format!("variant {variant}")) {
            table.variants.push(variant.to_owned());
        }
        let number = |text: &str| text.parse().unwrap_or(0.0);
        let value = (number(median), number(least), number(greatest));
        let values = table.columns.entry(column.to_owned()).or_default();
        values.insert((scenario.to_owned(), variant.to_owned()), value);
    }
    table
}

fn draw(
    path: &Path,
    title: &str,
    column: &Column,
    table: &Table,
) -> Result<(), Box<dyn error::Error>> {
    let greatest = column.values().map(|value| value.2).fold(0.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let scenarios = u32::try_from(table.scenarios.len())?;
    let variants = f64::from(u32::try_from(table.variants.len())?);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..f64::from(scenarios), 0.0..greatest.max(0.001) * 1.05)?;
    let label = |x: &f64| {
        let index = table.scenarios.iter().enumerate();
        let mut named = index.filter(|(number, _)| (*x - to_f64(*number) - 0.5).abs() < 0.01);
        named.next().map_or(String::new(), |(_, name)| name.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .y_desc(title)
        .x_labels(table.scenarios.len() * 2 + 1)
        .x_label_formatter(&label)
        .draw()?;
    for (rank, variant) in table.variants.iter().enumerate() {
        let color = Palette99::pick(rank).to_rgba();
        let mut bars = Vec::new();
        for (group, scenario) in table.scenarios.iter().enumerate() {
            let Some(value) = column.get(&(scenario.clone(), variant.clone())) else {
                continue;
            };
            let width = GROUP_WIDTH / variants;
            let left = to_f64(group) + 0.1 + width * to_f64(rank);
            bars.push((left, width, *value));
        }
        let shapes = bars.iter().map(|(left, width, (median, ..))| {
            Rectangle::new(
                [(*left, 0.0), (left + width * 0.9, *median)],
                color.filled(),
            )
        });
        chart
            .draw_series(shapes)?
            .label(variant)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], color.filled()));
        let spreads = bars.iter().map(|(left, width, (_, least, greatest))| {
            let middle = left + width * 0.45;
            PathElement::new([(middle, *least), (middle, *greatest)], BLACK)
        });
        chart.draw_series(spreads)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}

fn to_f64(index: usize) -> f64 {
    f64::from(u32::try_from(index).unwrap_or(u32::MAX))
}

fn main() -> Result<(), Box<dyn error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [csv, directory] = &args[..] else {
        return Err("give the CSV file and a directory for the plots".into());
    };
    let table = read(&fs::read_to_string(csv)?);
    fs::create_dir_all(directory)?;
    for (title, column) in &table.columns {
        let name = title.replace([' ', '/'], "-");
        let path = Path::new(directory).join(format!("{name}.svg"));
        draw(&path, title, column, &table)?;
    }
    Ok(())
}
