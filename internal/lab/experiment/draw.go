package experiment

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

func newDraw(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }
