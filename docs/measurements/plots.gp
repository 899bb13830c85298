# Draws the plots of ordinary-path.md from the data beside it: gnuplot docs/measurements/plots.gp, from the root.
set terminal svg size 760,360 font 'sans,11' background 'white'
set datafile separator "\t"
set grid
data = 'docs/measurements/data/'
plots = 'docs/measurements/plots/'

set logscale xy
set xlabel 'sequences'
set ylabel 'microseconds an input'
set key outside right top
set yrange [0.3:3000]
set output plots.'decide-line.svg'
set title 'An input with so many in line: before (dashed), now'
plot for [w in "10 100 1000"] data.'decide.tsv' using (strcol(1) eq 'inputs_with_a_line' && $2 == w ? $3 : NaN):4 with linespoints dashtype 2 title w.' workers, before', \
     for [w in "10 100 1000"] data.'decide.tsv' using (strcol(1) eq 'inputs_with_a_line' && $2 == w ? $3 : NaN):5 with linespoints title w.' workers'
set output plots.'decide-streams.svg'
set title 'An input beside so many streams: before (dashed), now'
plot for [w in "10 100 1000"] data.'decide.tsv' using (strcol(1) eq 'inputs' && $2 == w ? $3 : NaN):4 with linespoints dashtype 2 title w.' workers, before', \
     for [w in "10 100 1000"] data.'decide.tsv' using (strcol(1) eq 'inputs' && $2 == w ? $3 : NaN):5 with linespoints title w.' workers'

set output plots.'prompt.svg'
set title 'A sequence by the size of its prompt'
set xlabel 'prompt, KiB'
set ylabel 'thousand instructions; KiB copied'
set autoscale y
plot data.'prompt.tsv' using 1:2 with linespoints title 'instructions', \
     data.'prompt.tsv' using 1:3 with linespoints title 'copied', \
     data.'prompt.tsv' using 1:4 with linespoints dashtype 2 title 'copied, before'

unset logscale
set output plots.'stages.svg'
set title 'Allocations and calls of a chat of 100 events, by stage'
set style data histograms
set style fill solid 0.6
set xlabel ''
set ylabel 'a sequence'
set logscale y
set yrange [0.5:2000]
plot data.'stages.tsv' using 2:xtic(1) title 'allocations, before', '' using 3 title 'allocations', \
     '' using 4 title 'calls, before', '' using 5 title 'calls'
