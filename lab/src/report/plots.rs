//! The plots of a report: figures over time with the faults as bands, and a strip of colour for each gateway.

use crate::plan::Band;
use crate::runner::RunResult;
use plotters::prelude::*;

/// A plot that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("a plot could not be drawn: {0}")]
pub struct PlotError(String);

const WIDTH: u32 = 940;
const HEIGHT: u32 = 230;
/// Pixels of a gateway's strip.
const STRIP: u32 = 11;
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
];

/// A line over the seconds of a run.
type Line<'a> = (&'a str, Vec<f64>);

/// All plots, each with its title.
pub fn all(result: &RunResult) -> Result<Vec<(String, String)>, PlotError> {
    let timeline = &result.verdict.timeline;
    let share: Vec<f64> = timeline
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
    let plot = |title: &str, lines: &[Line], top: Option<f64>| -> Result<(String, String), PlotError> {
        let drawn =
            lines_over_time(lines, bands, result.length_s, top).map_err(|e| PlotError(e.to_string()))?;
        Ok((title.to_string(), drawn))
    };
    let mut all = vec![
        plot(
            "Worth served in time inside quotas, share of what was asked",
            &[("served", share)],
            Some(1.02),
        )?,
        plot("Tries refused and failed, and attempts, a second", &rates, None)?,
        plot("99th percentile of served answers, ms", &[("p99", timeline.p99_ms.clone())], None)?,
    ];
    if zones.len() > 1 {
        all.push(plot("Served share by the zone of the gateway asked first", &zones, Some(1.02))?);
    }
    let strip = heat(&timeline.gateways, bands, result.length_s).map_err(|e| PlotError(e.to_string()))?;
    all.push((
        "Served share by the gateway asked first (green all, red none, grey nothing asked)".into(),
        strip,
    ));
    Ok(all)
}

type Drawn = Result<String, Box<dyn std::error::Error>>;

fn lines_over_time(lines: &[Line], bands: &[Band], length: f64, top: Option<f64>) -> Drawn {
    let most = lines.iter().flat_map(|(_, values)| values).copied().fold(0.0, f64::max);
    let top = top.unwrap_or(most * 1.15).max(1e-3);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, HEIGHT)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(18)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..length, 0.0..top)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(RGBColor(225, 225, 225))
            .x_labels(12)
            .y_labels(5)
            .x_label_formatter(&|s| format!("{s:.0} s"))
            .y_label_formatter(&|v| if top > 20.0 { format!("{v:.0}") } else { format!("{v:.1}") })
            .draw()?;
        for (row, band) in bands.iter().enumerate() {
            let to = band.to_s.min(length).max(band.from_s);
            let shade =
                Rectangle::new([(band.from_s, 0.0), (to, top)], RGBColor(200, 120, 0).mix(0.13).filled());
            chart.draw_series([shade])?;
            // Names below each other, so that overlapping faults can be read.
            let place = (band.from_s + length * 0.004, top * (0.99 - 0.085 * (row % 5) as f64));
            chart.draw_series([Text::new(
                band.name.clone(),
                place,
                ("sans-serif", 11).into_font().color(&RGBColor(120, 75, 0)),
            )])?;
        }
        for (number, (name, values)) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let points = values.iter().enumerate().map(|(at, value)| (at as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points.filter(|(at, _)| *at <= length), colour.stroke_width(2)))?
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

/// Red for none, through yellow, to green for all; grey where there was nothing.
fn colour(share: f64) -> RGBColor {
    if share < 0.0 {
        return RGBColor(228, 228, 228);
    }
    let mix =
        |from: u8, to: u8, part: f64| (f64::from(from) + (f64::from(to) - f64::from(from)) * part) as u8;
    let (from, to, part) = match share {
        s if s < 0.5 => ((200, 30, 40), (250, 210, 80), s * 2.0),
        s => ((250, 210, 80), (60, 160, 75), (s * 2.0 - 1.0).min(1.0)),
    };
    RGBColor(mix(from.0, to.0, part), mix(from.1, to.1, part), mix(from.2, to.2, part))
}

fn heat(gateways: &[Vec<f64>], bands: &[Band], length: f64) -> Drawn {
    let count = gateways.len();
    let mut text = String::new();
    {
        let height = 40 + STRIP * count as u32;
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(18)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..length, 0.0..count as f64)?;
        let every = (count / 20).max(1);
        for (row, values) in gateways.iter().enumerate() {
            let low = (count - 1 - row) as f64;
            let cell = |(at, share): (usize, &f64)| {
                let to = ((at + 1) as f64).min(length);
                Rectangle::new([(at as f64, low + 0.06), (to, low + 0.94)], colour(*share).filled())
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
            for at in [band.from_s, band.to_s.min(length)] {
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
