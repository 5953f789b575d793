export type { Predictor } from './Predictor';
export type { ReservationFigures } from './ReservationFigures';
