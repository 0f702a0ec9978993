# Plots goodput and wasted prefill over the offered load; see tests/measure.sh.
set terminal pngcairo size 1200,450
set output picture
set multiplot layout 1,2
set key bottom right
set grid
set xlabel "offered load (times nominal capacity)"
set ylabel "goodput (calls a second within need)"
plot for [p in "ledger two-choices round-robin"] \
	"<grep '^".p." ' ".data using 2:3:4:5 with yerrorlines title p
set ylabel "wasted prefill (share of prompt work)"
set key top left
plot for [p in "ledger two-choices round-robin"] \
	"<grep '^".p." ' ".data using 2:6:7:8 with yerrorlines title p
unset multiplot
