# Plots of damaskshore-bench. Variables: folder (of the data files) and user.
set terminal svg size 800,480
set datafile missing NaN
set key outside right
set grid
set xlabel "load (% of capacity)"
models = "damaskshore random round_robin two_choices alone"

set output folder."/response_".user.".svg"
set title "Response time of single requests, p99 / ideal (".user.")"
set ylabel "ratio"
set logscale y
plot for [m in models] folder."/response.dat" \
  using (strcol(1) eq user && strcol(2) eq m ? $3 : NaN):4 with linespoints title m noenhanced

set output folder."/response_jobs_".user.".svg"
set title "Response time of jobs, p99 / ideal (".user.")"
plot for [m in models] folder."/response.dat" \
  using (strcol(1) eq user && strcol(2) eq m ? $3 : NaN):5 with linespoints title m noenhanced

set output folder."/wasted_".user.".svg"
set title "Wasted messages for each request (".user.")"
set ylabel "messages"
set logscale y
plot for [m in models] folder."/wasted.dat" \
  using (strcol(1) eq user && strcol(2) eq m ? $3 : NaN):($4 > 0 ? $4 : 1e-5) \
  with linespoints title m noenhanced
