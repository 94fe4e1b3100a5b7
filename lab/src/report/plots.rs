//! Plots of a report: metrics over time with the faults as bands, and a heat map with one row for each gateway.

use crate::plan::Band;
use crate::runner::RunResult;
use plotters::prelude::*;

/// Error for a plot that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("a plot could not be drawn: {0}")]
pub struct PlotError(String);

const WIDTH: u32 = 940;
const HEIGHT: u32 = 230;
/// Height of a gateway's row in the heat map, in pixels.
const ROW_HEIGHT: u32 = 11;
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
];

/// Label of a line, and its value for each second of the run.
type Line<'a> = (&'a str, Vec<f64>);

/// Draws all plots of a run; returns the title and SVG text of each.
pub fn all(result: &RunResult) -> Result<Vec<(String, String)>, PlotError> {
    let timeline = &result.verdict.timeline;
    let served_fraction: Vec<f64> = timeline
        .served
        .iter()
        .zip(&timeline.offered)
        .map(|(served, offered)| if *offered > 0.0 { (served / offered).min(1.0) } else { 1.0 })
        .collect();
    let bands = &result.faults;
    let zones: Vec<Line> =
        timeline.zones.iter().map(|(name, values)| (name.as_str(), values.clone())).collect();
    let rates = [
        ("refused", timeline.refused.clone()),
        ("failed", timeline.failed.clone()),
        ("attempts", timeline.attempts.clone()),
    ];
    let plot = |title: &str, lines: &[Line], y_max: Option<f64>| -> Result<(String, String), PlotError> {
        let svg =
            lines_over_time(lines, bands, result.length_s, y_max).map_err(|e| PlotError(e.to_string()))?;
        Ok((title.to_string(), svg))
    };
    let mut all = vec![
        plot(
            "Priority weight served in time within quotas, fraction of the weight offered",
            &[("served", served_fraction)],
            Some(1.02),
        )?,
        plot("Client attempts refused and failed, and attempts at backends, per second", &rates, None)?,
        plot(
            "99th percentile of the time to an answer 200, in ms",
            &[("p99", timeline.p99_ms.clone())],
            None,
        )?,
    ];
    if zones.len() > 1 {
        all.push(plot("Served fraction by the zone of the gateway asked first", &zones, Some(1.02))?);
    }
    let heat_map_svg =
        heat_map(&timeline.gateways, bands, result.length_s).map_err(|e| PlotError(e.to_string()))?;
    all.push((
        "Served fraction by the gateway asked first (green: all, red: none, grey: nothing offered)".into(),
        heat_map_svg,
    ));
    Ok(all)
}

type SvgResult = Result<String, Box<dyn std::error::Error>>;

fn lines_over_time(lines: &[Line], bands: &[Band], length_s: f64, y_max: Option<f64>) -> SvgResult {
    let max_value = lines.iter().flat_map(|(_, values)| values).copied().fold(0.0, f64::max);
    let y_max = y_max.unwrap_or(max_value * 1.15).max(1e-3);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, HEIGHT)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(18)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..length_s, 0.0..y_max)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(RGBColor(225, 225, 225))
            .x_labels(12)
            .y_labels(5)
            .x_label_formatter(&|s| format!("{s:.0} s"))
            .y_label_formatter(&|v| if y_max > 20.0 { format!("{v:.0}") } else { format!("{v:.1}") })
            .draw()?;
        for (row, band) in bands.iter().enumerate() {
            let to = band.to_s.min(length_s).max(band.from_s);
            let shade =
                Rectangle::new([(band.from_s, 0.0), (to, y_max)], RGBColor(200, 120, 0).mix(0.13).filled());
            chart.draw_series([shade])?;
            // Names are staggered vertically, so that those of overlapping faults stay readable.
            let label_position = (band.from_s + length_s * 0.004, y_max * (0.99 - 0.085 * (row % 5) as f64));
            chart.draw_series([Text::new(
                band.name.clone(),
                label_position,
                ("sans-serif", 11).into_font().color(&RGBColor(120, 75, 0)),
            )])?;
        }
        for (index, (name, values)) in lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            let points = values.iter().enumerate().map(|(at, value)| (at as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(
                    points.filter(|(at, _)| *at <= length_s),
                    colour.stroke_width(2),
                ))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        if lines.len() > 1 {
            let position = SeriesLabelPosition::LowerRight;
            chart.configure_series_labels().position(position).background_style(WHITE.mix(0.8)).draw()?;
        }
        area.present()?;
    }
    Ok(text)
}

/// Returns the colour of a served fraction: red for 0, through yellow, to green for 1; grey below 0, which stands for
/// nothing offered.
fn colour(served_fraction: f64) -> RGBColor {
    if served_fraction < 0.0 {
        return RGBColor(228, 228, 228);
    }
    let mix = |from: u8, to: u8, mix_fraction: f64| {
        (f64::from(from) + (f64::from(to) - f64::from(from)) * mix_fraction) as u8
    };
    let (from, to, mix_fraction) = match served_fraction {
        fraction if fraction < 0.5 => ((200, 30, 40), (250, 210, 80), fraction * 2.0),
        fraction => ((250, 210, 80), (60, 160, 75), (fraction * 2.0 - 1.0).min(1.0)),
    };
    RGBColor(
        mix(from.0, to.0, mix_fraction),
        mix(from.1, to.1, mix_fraction),
        mix(from.2, to.2, mix_fraction),
    )
}

fn heat_map(gateways: &[Vec<f64>], bands: &[Band], length_s: f64) -> SvgResult {
    let count = gateways.len();
    let mut text = String::new();
    {
        let height = 40 + ROW_HEIGHT * count as u32;
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(18)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..length_s, 0.0..count as f64)?;
        let every = (count / 20).max(1);
        for (row, values) in gateways.iter().enumerate() {
            let low = (count - 1 - row) as f64;
            let cell = |(at, served_fraction): (usize, &f64)| {
                let to = ((at + 1) as f64).min(length_s);
                Rectangle::new([(at as f64, low + 0.06), (to, low + 0.94)], colour(*served_fraction).filled())
            };
            chart.draw_series(values.iter().enumerate().map(cell))?;
            if row % every == 0 {
                let (_, y) = chart.backend_coord(&(0.0, low + 0.95));
                area.draw(&Text::new(format!("g{row}"), (22, y), ("sans-serif", 10).into_font()))?;
            }
        }
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(0)
            .x_labels(12)
            .x_label_formatter(&|s| format!("{s:.0} s"))
            .draw()?;
        for band in bands {
            for at in [band.from_s, band.to_s.min(length_s)] {
                chart.draw_series([PathElement::new(
                    [(at, 0.0), (at, count as f64)],
                    RGBColor(60, 60, 60).mix(0.6),
                )])?;
            }
        }
        area.present()?;
    }
    Ok(text)
}
